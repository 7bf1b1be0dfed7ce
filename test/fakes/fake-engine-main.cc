// Entry point of the stand-in of a model engine.
#include <tclap/CmdLine.h>

#include "fakes/fake-engine.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in of a model engine.", ' ', "0.1");
  TCLAP::ValueArg<std::uint16_t> port("", "port", "Port on 127.0.0.1; 0: any.",
                                      false, 0, "PORT", command);
  TCLAP::ValueArg<double> speed("", "speed", "Divides the times.", false, 1,
                                "FACTOR", command);
  TCLAP::ValueArg<std::uint64_t> memory("", "kv-tokens", "KV memory in tokens.",
                                        false, 450000, "TOKENS", command);
  TCLAP::ValueArg<std::uint32_t> running(
      "", "max-running", "Requests in one batch.", false, 64, "N", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Of all faults.", false, 1,
                                      "N", command);
  TCLAP::MultiArg<std::string> models("", "model", "A loaded model.", false,
                                      "NAME", command);
  TCLAP::SwitchArg unchecked("", "ignore-fence",
                             "Take orders with old numbers.", command);
  command.parse(argc, argv);
  comfreyflow::fakes::FakeEngineSettings settings;
  settings.port = port.getValue();
  settings.speed = speed.getValue();
  settings.kv_capacity = memory.getValue();
  settings.max_running = running.getValue();
  settings.seed = seed.getValue();
  settings.checks_fence = !unchecked.getValue();
  if (models.isSet()) settings.models.clear();
  for (const std::string& name : models.getValue()) settings.models[name] = "1";
  comfreyflow::fakes::FakeEngine engine(std::move(settings));
  comfreyflow::fakes::ServeUntilSignal("fake-engine", engine.address());
}
