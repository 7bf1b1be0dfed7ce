// Entry point of the stand-in of a plain service.
#include <tclap/CmdLine.h>

#include "fakes/fake-service.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in of a plain service.", ' ', "0.1");
  TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0: any.",
                                      false, 0, "PORT", command);
  command.parse(argc, argv);
  comfreyflow::fakes::FakeService service(port.getValue());
  comfreyflow::fakes::ServeUntilSignal("fake-service", service.address());
}
