// Stand-in of a plain service.
#include "fakes/fake-service.h"

namespace comfreyflow::fakes {

FakeService::FakeService(std::uint16_t port) : server_(port) {
  server_.Start([this](const CallPtr& call) { Handle(call); });
}

FakeService::~FakeService() { server_.Stop(); }

void FakeService::SetFaults(const Json& faults) {
  server_.RunAndWait([&] { ChangeFaults(faults); });
}

Json FakeService::Runs() {
  Json out;
  server_.RunAndWait([&] { out = {{"total", total_}, {"runs", runs_}}; });
  return out;
}

void FakeService::Handle(const CallPtr& call) {
  const FakeRequest& request = call->request();
  if (request.path == "/faults") {
    ChangeFaults(Json::parse(request.body));
    return call->Reply(200, Json::object());
  }
  if (request.path == "/runs") {
    return call->Reply(200, {{"total", total_}, {"runs", runs_}});
  }
  if (refuse_ > 0) {
    --refuse_;
    return call->Reply(503, {{"error", {{"code", "busy"}, {"ran", false}}}},
                       {{"x-not-run", "1"}});
  }
  if (slow_.count() == 0) return Run(call);
  // Shows that the call is here and has not run.
  runs_.try_emplace(request.Header("idempotency-key"), 0);
  auto timer =
      std::make_shared<boost::asio::steady_timer>(server_.context(), slow_);
  timer->async_wait(
      [this, call, timer](boost::system::error_code) { Run(call); });
}

void FakeService::Run(const CallPtr& call) {
  const std::string key = call->request().Header("idempotency-key");
  ++total_;
  const std::uint32_t run = key.empty() ? 1 : ++runs_[key];
  if (hang_ > 0) {
    --hang_;
    return call->Mute();
  }
  if (lose_answers_ > 0) {
    --lose_answers_;
    return call->Break();
  }
  call->Reply(200, {{"path", call->request().path},
                    {"run", run},
                    {"headers", call->request().headers},
                    {"bytes", call->request().body.size()}});
}

void FakeService::ChangeFaults(const Json& faults) {
  for (const auto& [key, value] : faults.items()) {
    if (key == "slow_ms") {
      slow_ = std::chrono::milliseconds(value.get<int>());
    } else if (key == "hang") {
      hang_ = value;
    } else if (key == "lose_answers") {
      lose_answers_ = value;
    } else if (key == "refuse") {
      refuse_ = value;
    } else {
      throw std::invalid_argument("unknown fault " + key);
    }
  }
}

}  // namespace comfreyflow::fakes
