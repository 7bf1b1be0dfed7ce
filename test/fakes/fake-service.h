/// Stand-in of a plain service: counts how often each idempotency key ran.
#pragma once

#include "fakes/fake-server.h"

namespace comfreyflow::fakes {

/// Faults (`POST /faults`): `slow_ms`: delay before a call runs; `hang` N: the
/// next N calls run and are never answered; `lose_answers` N: the next N run
/// and their connections break; `refuse` N: the next N are told, with
/// `x-not-run: 1`, that they did not run.
///
/// `GET /runs` gives `{"total":N,"runs":{KEY:N}}`; every other path runs and
/// tells its headers.
class FakeService {
 public:
  explicit FakeService(std::uint16_t port = 0);
  ~FakeService();

  std::string address() const { return server_.address(); }
  void SetFaults(const Json& faults);
  /// The answer of `GET /runs`.
  Json Runs();

 private:
  void Handle(const CallPtr& call);
  void Run(const CallPtr& call);
  void ChangeFaults(const Json& faults);

  std::map<std::string, std::uint32_t> runs_;
  std::uint32_t total_ = 0;
  std::chrono::milliseconds slow_{0};
  std::uint32_t hang_ = 0;
  std::uint32_t lose_answers_ = 0;
  std::uint32_t refuse_ = 0;
  FakeServer server_;  ///< Last: its thread ends before the state does.
};

}  // namespace comfreyflow::fakes
