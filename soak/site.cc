// Store, targets and what they note.
#include "soak/site.h"

#include <algorithm>
#include <array>
#include <utility>

#include "node/clock.h"

namespace comfreyflow::soak {
namespace {

using comfreyflow::detail::Now;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t kVersionStep = 3;
constexpr milliseconds kFirstEvent{8};
constexpr milliseconds kBetweenEvents{15};
constexpr milliseconds kPlainWork{4};
constexpr milliseconds kShortestWork{2000};
constexpr milliseconds kLongestWork{6000};
/// Of slow routes: a stream's longest pause is a sixth of the longest work.
constexpr int kSlowTimeoutMs = 10'000;
constexpr int kSlowPlainMs = 7000;
constexpr int kSlowEventMs = 1500;
/// Each configuration has time limits longer by a multiple of this, which
/// returns to zero in the third.
constexpr int kTimeoutStepMs = 500;
constexpr std::uint64_t kTimeoutSteps = 3;
constexpr std::size_t kAccounts = 2;
/// A key is picked mostly when all hosts had time to hear of it.
constexpr std::chrono::seconds kKnownAfter{3};
/// Of picks, those of any key that ever was.
constexpr double kOldKeyShare = 0.1;
constexpr double kErrorShare = 0.5;
constexpr double kRefusedShare = 0.6;
constexpr double kUnnamedShare = 0.1;
constexpr milliseconds kShortestRest{600};
constexpr milliseconds kLongestRest{3000};
constexpr std::size_t kPouredBytes = 16 * 1024;
constexpr milliseconds kBetweenPours{5};

/// Between the names of two targets.
constexpr const char* kOddName = "target1-odd";
/// Deeper than a parser that recurses has stack for.
constexpr std::size_t kOddDepth = 100'000;

struct OddText {
  std::string what;
  std::string text;
};

/// An entry of a plain target, one field of which is odd.
OddText OddEntryOf(std::size_t kind) {
  const std::string service = std::string("{\"Service\":\"") + kPlainService +
                              "\",\"State\":\"ready\",";
  const std::string rest = R"("Addr":"127.0.0.1:9","Zone":"z0","Slots":8)";
  const std::array<OddText, 4> texts = {
      {{"a number out of range",
        service + R"("Addr":"127.0.0.1:9","Zone":"z0","Slots":1e999})"},
       {"very deep nesting", service + rest +
                                 ",\"Note\":" + std::string(kOddDepth, '[') +
                                 std::string(kOddDepth, ']') + '}'},
       {"a port out of range",
        service + R"("Addr":"127.0.0.1:70000","Zone":"z0","Slots":8})"},
       {"a byte that is no UTF-8", service + rest + ",\"Note\":\"\xff\"}"}}};
  return texts[kind % texts.size()];
}

bool IsSlow(const Run& run) { return run.path.starts_with(kSlowPrefix); }

/// How long a target works on a slow request.
milliseconds WorkOf(const Run& run) {
  const auto hash = std::hash<std::string>()(run.id);
  const auto spread =
      static_cast<std::size_t>((kLongestWork - kShortestWork).count());
  return kShortestWork + milliseconds(hash % spread);
}

milliseconds EventPause(const Run& run) {
  return IsSlow(run) ? WorkOf(run) / EventCountOf(run.id) : kBetweenEvents;
}

/// A route of slow work beside each route.
void AddSlowRoutes(Json& routes) {
  const Json fast = routes;
  for (Json route : fast) {
    const bool streams = route["Kind"] == "stream";
    route["Name"] = "slow-" + route["Name"].get<std::string>();
    route["PathPrefix"] =
        kSlowPrefix + route["PathPrefix"].get<std::string>().substr(1);
    route["TimeoutMs"] = kSlowTimeoutMs;
    route["TargetLatencyMs"] = streams ? kSlowEventMs : kSlowPlainMs;
    route["MaxGapMs"] = kSlowEventMs;
    routes.push_back(std::move(route));
  }
}

std::string AccountOf(std::uint64_t number) {
  return "account" + std::to_string(number % kAccounts);
}

}  // namespace

struct Site::Target {
  Target(boost::asio::io_context& io, std::string service, std::size_t number)
      : service(std::move(service)),
        number(number),
        fake(io, "target" + std::to_string(number)),
        path(io, fake.address()) {}

  void WriteCopies(CopyCounts& counts) {
    copies.emplace(counts, number);
    path.WriteCopies(*copies);
  }

  const std::string service;
  const std::size_t number;
  platform::FakeTarget fake;
  Proxy path;
  std::optional<CopyWriter> copies;
  Behaviour behaviour = Behaviour::kSound;
  std::uint64_t born = 1;            ///< Changes with each start.
  std::uint64_t reports = 1;         ///< Since its start.
  std::string state;                 ///< Of its entry; empty: it has none.
  bool tells = false;                ///< All its answers say that it leaves.
  std::optional<std::size_t> limit;  ///< Of `Records::limits`.
  Time silent_until;
  std::size_t orders_read = 0;
  std::vector<http::ExchangePtr> hanging;  ///< Never answered.
};

Site::Site(boost::asio::io_context& io, Records& records, std::uint64_t seed)
    : io_(io), records_(records), random_(seed), store_(io) {
  for (std::size_t i = 0; i < kAccounts; ++i) {
    records_.keys.push_back({"key" + std::to_string(keys_made_),
                             AccountOf(keys_made_), Now(), std::nullopt});
    ++keys_made_;
  }
  PutConfig();
}

Site::~Site() = default;

Proxy& Site::AddStorePath() {
  store_paths_.push_back(std::make_unique<Proxy>(io_, store_.address()));
  return *store_paths_.back();
}

void Site::AddTarget(const std::string& service) {
  targets_.push_back(std::make_unique<Target>(io_, service, targets_.size()));
  Target& target = *targets_.back();
  target.fake.OnRequest([this, &target](const http::ExchangePtr& exchange) {
    Take(target, exchange);
  });
  target.fake.OnMisdirected([&target](const http::ExchangePtr& exchange) {
    http::Response head = target.fake.Head(exchange->request(), 421);
    head.fields.push_back({"x-not-run", "1"});
    exchange->Respond(std::move(head));
  });
  if (records_.copies) target.WriteCopies(*records_.copies);
  List(target.number, "ready");
}

Proxy& Site::target_path(std::size_t target) {
  return targets_.at(target)->path;
}

void Site::SetBehaviour(std::size_t target, Behaviour behaviour) {
  targets_.at(target)->behaviour = behaviour;
  if (targets_.at(target)->copies) {
    targets_.at(target)->copies->SetCopies(behaviour == Behaviour::kCopies);
  }
  if (behaviour == Behaviour::kSound) targets_.at(target)->hanging.clear();
}

void Site::Pause(std::size_t target, Duration time) {
  targets_.at(target)->silent_until = Now() + time;
}

void Site::Later(Target& target, Duration delay, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, &target, action = std::move(action)](
                        const boost::system::error_code&) mutable {
    const Duration silence = target.silent_until - Now();
    if (silence > Duration::zero()) {
      return Later(target, silence, std::move(action));
    }
    action();
  });
}

void Site::SetTells(std::size_t target, bool tells) {
  targets_.at(target)->tells = tells;
}

void Site::SetLimit(std::size_t number, std::optional<double> rate) {
  Target& target = *targets_.at(number);
  if (target.limit) records_.limits[*target.limit].until = Now();
  target.limit.reset();
  if (!rate) return;
  target.limit = records_.limits.size();
  records_.limits.push_back({number, target.born, *rate, {}, {}});
}

std::string Site::ServiceOf(std::size_t target) const {
  return targets_.at(target)->service;
}

void Site::List(std::size_t number, const std::string& state) {
  Target& target = *targets_.at(number);
  target.state = state;
  PutEntry(target, state, ++target.reports);
}

void Site::ListLate(std::size_t number, const std::string& state) {
  const Target& target = *targets_.at(number);
  PutEntry(target, state, target.reports - 1);
}

void Site::Restart(std::size_t number) {
  Target& target = *targets_.at(number);
  SetLimit(number, std::nullopt);
  ++target.born;
  target.reports = 0;
  List(number, "ready");
}

void Site::Rename(std::size_t number, Duration late) {
  Target& target = *targets_.at(number);
  const std::string former = target.fake.name();
  ++target.born;
  target.reports = 0;
  target.fake.Rename("target" + std::to_string(number) + "-" +
                     std::to_string(target.born));
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, late);
  timer->async_wait([this, timer, &target, former](const auto&) {
    if (store_.Has("servers", former)) store_.Remove("servers", former);
    List(target.number, "ready");
  });
}

void Site::ListUnreadable(std::size_t number) {
  const Target& target = *targets_.at(number);
  store_.Put("servers", target.fake.name(), Json{{"Service", 7}});
}

std::string Site::ListOdd(std::size_t kind) {
  const OddText odd = OddEntryOf(kind);
  store_.PutText("servers", kOddName, odd.text);
  return odd.what;
}

void Site::UnlistOdd() { store_.Remove("servers", kOddName); }

std::string Site::DomainOf(std::size_t target) {
  return "z" + std::to_string(target % 3);
}

void Site::SetEvacuated(const std::string& domain, bool evacuated) {
  constexpr const char* kKind = "evacuations";
  evacuated ? store_.Put(kKind, domain, Json::object())
            : store_.Remove(kKind, domain);
}

void Site::PutEntry(const Target& target, const std::string& state,
                    std::uint64_t report) {
  Json entry = platform::SampleEntry(target.service, target.path.address(),
                                     DomainOf(target.number), state);
  entry["born"] = target.born;
  entry["Seq"] = report;
  store_.Put("servers", target.fake.name(), entry);
}

void Site::Unlist(std::size_t target) {
  targets_.at(target)->state.clear();
  const std::string& name = targets_.at(target)->fake.name();
  if (store_.Has("servers", name)) store_.Remove("servers", name);
}

Json Site::Config() const {
  Json accounts = Json::array();
  for (std::size_t i = 0; i < kAccounts; ++i) {
    Json keys = Json::array();
    for (const auto& life : records_.keys) {
      if (life.account == AccountOf(i) && !life.removed) {
        keys.push_back(life.key);
      }
    }
    accounts.push_back({{"Name", AccountOf(i)}, {"ApiKeys", keys}});
  }
  Json config = platform::SampleConfig(version_);
  AddSlowRoutes(config["Routes"]);
  const auto step = static_cast<int>(version_ / kVersionStep % kTimeoutSteps);
  for (Json& route : config["Routes"]) {
    route["TimeoutMs"] = route["TimeoutMs"].get<int>() + step * kTimeoutStepMs;
  }
  config["Tenants"] = std::move(accounts);
  return config;
}

void Site::PutConfig() {
  version_ += kVersionStep;
  records_.configs.push_back(Now());
  store_.Put("config", "main", Config());
}

void Site::WriteConfigAgain() { store_.Put("config", "main", Config()); }

void Site::WriteEntryAgain(std::size_t number) {
  const std::string state = targets_.at(number)->state;
  state.empty() ? Unlist(number) : List(number, state);
}

void Site::Rewind(const platform::FakeStore::Copy& copy, bool catches_up) {
  const std::uint64_t revision = store_.revision();
  store_.Restore(copy);
  if (!catches_up) return;
  ChangeKey();
  for (std::size_t i = 0; i < targets_.size(); ++i) WriteEntryAgain(i);
  while (store_.revision() <= revision) store_.Put("other", "object", Json());
}

void Site::ChangeKey() {
  const std::string account = AccountOf(keys_made_);
  // The key before stays, so that there is one that is known everywhere.
  std::vector<KeyLife*> in_force;
  for (auto& life : records_.keys) {
    if (life.account == account && !life.removed) in_force.push_back(&life);
  }
  if (in_force.size() > 1) in_force.front()->removed = Now();
  records_.keys.push_back(
      {"key" + std::to_string(keys_made_), account, Now(), std::nullopt});
  ++keys_made_;
  PutConfig();
}

std::string Site::PickKey() {
  std::vector<std::string> in_force;
  for (const auto& life : records_.keys) {
    const bool known = Now() - life.added > kKnownAfter;
    if (!life.removed && (known || in_force.empty())) {
      in_force.push_back(life.key);
    }
  }
  const auto pick = [this](std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  };
  if (std::bernoulli_distribution(kOldKeyShare)(random_)) {
    return records_.keys[pick(records_.keys.size())].key;
  }
  return in_force[pick(in_force.size())];
}

/// The head of an answer, with what the target says of itself.
http::Response Site::Head(const Target& target, const http::Request& request,
                          int status) {
  http::Response head = target.fake.Head(request, status);
  const std::string id(http::FieldValue(request.fields, "x-request-id"));
  if (target.limit) {
    NamedLimit& limit = records_.limits[*target.limit];
    if (!limit.first) limit.first = Now();
    head.fields.push_back({"server-limit", std::to_string(limit.rate)});
    records_.limit_words.push_back({id, *target.limit, Now()});
  }
  if (!target.tells) return head;
  head.fields.push_back({"server-leaving", "1"});
  records_.words.push_back(
      {id, target.number, target.born, Now(), std::nullopt});
  return head;
}

/// Bytes that are no answer, until the other end closes.
void Site::Pour(Target& target, const http::ExchangePtr& exchange) {
  http::Response head = Head(target, exchange->request(), 200);
  if (target.service == kEngineService) {
    head.content_type = "text/event-stream";
  } else {
    std::erase_if(head.fields,
                  [](const auto& field) { return field.name == "x-seal"; });
  }
  exchange->StartStream(std::move(head));
  const auto closed = std::make_shared<bool>(false);
  exchange->OnGone([closed] { *closed = true; });
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  const auto step = std::make_shared<std::function<void()>>();
  *step = [exchange, closed, timer, weak = std::weak_ptr(step)] {
    const auto self = weak.lock();
    if (*closed) return;
    exchange->Write(std::string(kPouredBytes, 'z'));
    timer->expires_after(kBetweenPours);
    timer->async_wait([self](const boost::system::error_code&) { (*self)(); });
  };
  (*step)();
}

void Site::Take(Target& target, const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  const std::size_t number = records_.runs.size();
  Run& run = records_.runs.emplace_back();
  run.id = http::FieldValue(request.fields, "x-request-id");
  run.target = target.number;
  run.born = target.born;
  run.at = Now();
  run.path = request.target;
  run.body = request.body;
  run.account = http::FieldValue(request.fields, "x-tenant");
  run.key_seen = http::HasField(request.fields, "authorization");
  run.resumed = http::HasField(request.fields, "last-event-id");
  exchange->OnGone([this, number] {
    Run& ended = records_.runs[number];
    if (!ended.ended) ended.ended = Now();
  });
  const auto answer = [&](int status) {
    http::Response head = Head(target, request, status);
    if (!run.ran) head.fields.push_back({"x-not-run", "1"});
    run.ended = run.at;
    exchange->Respond(std::move(head));
  };
  switch (target.behaviour) {
    case Behaviour::kRefuses:
      run.ran = false;
      return answer(503);
    case Behaviour::kErrors:
      if (!std::bernoulli_distribution(kErrorShare)(random_)) break;
      run.failed = true;
      return answer(500);
    case Behaviour::kLoses:
      run.ended = run.at;
      return exchange->Abort();
    case Behaviour::kHangs:
      target.hanging.push_back(exchange);
      return;
    case Behaviour::kRests:
      run.ran = false;
      return TurnAway(target, exchange, run);
    case Behaviour::kPours:
      return Pour(target, exchange);
    case Behaviour::kCopies:
      if (!std::bernoulli_distribution(kRefusedShare)(random_)) break;
      return Refuse(target, exchange, run);
    case Behaviour::kSound:
      break;
  }
  if (target.service == kEngineService) {
    return Stream(target, exchange, number);
  }
  const milliseconds work = IsSlow(run) ? WorkOf(run) : kPlainWork;
  Later(target, work, [this, &target, exchange, number] {
    http::Response response = Head(target, exchange->request(), 200);
    Run& ended = records_.runs[number];
    response.body = AnswerOf(ended.path, ended.body);
    if (!ended.ended) ended.ended = Now();
    exchange->Respond(std::move(response));
  });
}

/// Mostly names the request.
void Site::Refuse(Target& target, const http::ExchangePtr& exchange, Run& run) {
  constexpr int kUnavailable = 503;
  constexpr int kLimited = 429;
  run.ran = false;
  run.ended = run.at;
  const bool limited = std::bernoulli_distribution()(random_);
  http::Response head =
      Head(target, exchange->request(), limited ? kLimited : kUnavailable);
  head.fields.push_back({"x-not-run", "1"});
  if (std::bernoulli_distribution(kUnnamedShare)(random_)) {
    std::erase_if(head.fields, [](const auto& field) {
      return field.name == "x-request-id";
    });
  }
  exchange->Respond(std::move(head));
}

void Site::TurnAway(Target& target, const http::ExchangePtr& exchange,
                    Run& run) {
  std::uniform_int_distribution<milliseconds::rep> draw(kShortestRest.count(),
                                                        kLongestRest.count());
  const milliseconds rest(draw(random_));
  http::Response head = Head(target, exchange->request(), 503);
  head.fields.push_back({"x-not-run", "1"});
  head.fields.push_back(
      {"retry-after",
       std::to_string(std::chrono::duration<double>(rest).count())});
  records_.words.push_back({run.id, target.number, target.born, Now(), rest});
  run.ended = run.at;
  exchange->Respond(std::move(head));
}

/// Events from the one behind `Last-Event-Id` on, one by one.
void Site::Stream(Target& target, const http::ExchangePtr& exchange,
                  std::size_t run) {
  struct Progress {
    int next = 1;
    bool begun = false;
    std::function<void()> step;
  };
  const auto progress = std::make_shared<Progress>();
  const auto& fields = exchange->request().fields;
  const auto last = http::FieldValue(fields, "last-event-id");
  if (!last.empty()) progress->next = std::stoi(std::string(last)) + 1;
  progress->step = [this, &target, exchange, run,
                    weak = std::weak_ptr(progress)] {
    const auto self = weak.lock();
    Run& record = records_.runs[run];
    if (record.ended) return;
    if (!std::exchange(self->begun, true)) {
      http::Response head = Head(target, exchange->request(), 200);
      head.content_type = "text/event-stream";
      exchange->StartStream(std::move(head));
    }
    if (self->next > EventCountOf(record.id)) {
      record.ended = Now();
      return exchange->End();
    }
    exchange->Write(EventOf(record.id, self->next++));
    Later(target, EventPause(record), [self] { self->step(); });
  };
  Later(target, kFirstEvent, [progress] { progress->step(); });
}

void Site::ReadOrders() {
  for (const auto& target : targets_) {
    const auto& orders = target->fake.orders();
    for (; target->orders_read < orders.size(); ++target->orders_read) {
      const Json& order = orders[target->orders_read];
      const std::string id = order["Id"];
      const auto held = std::find_if(
          records_.held.begin(), records_.held.end(), [&](const Held& h) {
            return h.id == id && h.target == target->number;
          });
      if (order["Op"] == "release") {
        if (held != records_.held.end()) held->released = true;
        continue;
      }
      const Duration life = milliseconds(order["HoldMs"].get<int>());
      if (held == records_.held.end()) {
        records_.held.push_back({id, target->number, Now(), life, false});
      } else {
        held->renewed = Now();
        held->life = life;
        held->released = false;
      }
    }
  }
}

}  // namespace comfreyflow::soak
