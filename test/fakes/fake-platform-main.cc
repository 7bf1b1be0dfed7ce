// Entry point of the stand-in of the platform.
#include <tclap/CmdLine.h>

#include "fakes/fake-platform.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in of the platform's object API.", ' ', "0.1");
  TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0: any.",
                                      false, 0, "PORT", command);
  TCLAP::ValueArg<std::uint32_t> writes("", "writes-per-second",
                                        "Limit of writes; 0: none.", false, 0,
                                        "N", command);
  TCLAP::ValueArg<std::uint32_t> reads("", "reads-per-second",
                                       "Limit of other calls; 0: none.", false,
                                       0, "N", command);
  command.parse(argc, argv);
  comfreyflow::fakes::FakePlatformSettings settings;
  settings.port = port.getValue();
  settings.writes_per_second = writes.getValue();
  settings.reads_per_second = reads.getValue();
  comfreyflow::fakes::FakePlatform platform(settings);
  comfreyflow::fakes::ServeUntilSignal("fake-platform", platform.address());
}
