// Chooses the way of each call to a target, and carries calls of other hosts.
#include "gateway/target-paths.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "comfreyflow/addresses.h"
#include "gateway/answer-flow.h"
#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time for a connection to a target while other hosts may carry the request.
/// A sound machine accepts within a round trip.
constexpr milliseconds kDirectConnectTimeout{200};
constexpr milliseconds kCarrierConnectTimeout{200};
/// Hosts that are asked to carry one attempt.
constexpr std::size_t kMaxCarriers = 4;
/// Hosts that made no connection to the target before it is held for the cause.
/// One of them may be cut off and not know it yet.
constexpr std::size_t kCarriersForTarget = 2;
/// A host that failed to carry is asked last for this long, one that did carry
/// is asked first.
constexpr Duration kCarrierMemory = std::chrono::seconds(1);
/// Requests of other hosts that a host carries at once.
constexpr std::size_t kMaxCarried = 128;

/// Marks the head of a target's answer that was carried.
constexpr std::string_view kCarriedField = "carried";
/// Says that a carried answer is that to this request even if it names none, as
/// `http::AnswerProof::is_own`. Hosts of older builds do not say it.
constexpr std::string_view kOwnField = "carried-own";
/// Says that the connection on which a carried answer came had carried no other
/// request with its id. Hosts of older builds do not say it.
constexpr std::string_view kNewIdField = "carried-new-id";
/// Says in the answer of a carrying host why there is none of the target.
constexpr std::string_view kFailedField = "carry-failed";
constexpr std::string_view kDeclined = "declined";
constexpr std::string_view kUnreachable = "unreachable";
constexpr std::string_view kBroken = "broken";
constexpr std::string_view kSilent = "silent";
/// Beside `kBroken`: as `http::CallEnd::is_garbled`. Hosts of older builds do
/// not say it.
constexpr std::string_view kGarbledField = "carry-garbled";
/// The carrying host itself did not answer.
constexpr std::string_view kGone = "gone";
/// Says that a host made a connection to the target in question.
constexpr std::string_view kReachedField = "reached";
constexpr int kBadGatewayStatus = 502;

std::string_view ReasonOf(Errc code) {
  switch (code) {
    case Errc::kTargetUnreachable:
      return kUnreachable;
    case Errc::kTargetUnresponsive:
      return kSilent;
    default:
      return kBroken;
  }
}

}  // namespace

// ---- Calls of this host -----------------------------------------------------

/// One call to a target, over one way after the other until the request may
/// have arrived.
class TargetPaths::PathCall : public http::Call,
                              public std::enable_shared_from_this<PathCall> {
 public:
  PathCall(TargetPaths& paths, TargetCall call, http::CallOptions options,
           http::CallHooks hooks)
      : paths_(paths),
        call_(std::move(call)),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        began_(Now()) {}

  void Start() {
    const Time now = Now();
    if (paths_.reach_.IsOutOfReach(call_.service, call_.address, now) &&
        paths_.hooks_.has_carriers()) {
      paths_.Probe(call_.service, call_.address);
      return StartCarried();
    }
    StartDirect();
  }

  void Cancel() override {
    is_done_ = true;
    if (current_) current_->Cancel();
    current_.reset();
    hooks_ = {};
  }

  void Pause() override {
    if (current_) current_->Pause();
  }

  void Resume() override {
    if (current_) current_->Resume();
  }

 private:
  void StartDirect() {
    http::CallOptions options = options_;
    if (paths_.hooks_.has_carriers()) {
      options.connect_timeout =
          std::min(options.connect_timeout, kDirectConnectTimeout);
    }
    http::CallHooks hooks;
    const auto self = shared_from_this();
    hooks.on_connected = [self] {
      self->paths_.OnReached(self->call_.service, self->call_.address);
    };
    hooks.on_sent = [self] { self->TellSent(); };
    hooks.owner = hooks_.owner;
    hooks.on_head = [self](const http::Response& head) {
      self->paths_.OnReached(self->call_.service, self->call_.address);
      if (!self->is_done_ && self->hooks_.on_head) self->hooks_.on_head(head);
    };
    hooks.on_body = [self](std::string_view bytes) { self->TellBody(bytes); };
    hooks.on_end = [self](http::CallEnd end) { self->OnDirectEnd(end); };
    current_ = paths_.client_.Open(call_.address, call_.request(), options,
                                   std::move(hooks));
  }

  void OnDirectEnd(const http::CallEnd& end) {
    if (is_done_) return;
    const bool is_unreached = end.code == Errc::kTargetUnreachable && !end.sent;
    if (!is_unreached) return TellEnd(end);
    paths_.OnFailed(call_.service, call_.address);
    has_tried_directly_ = true;
    StartCarried();
  }

  void StartCarried() {
    const auto carrier = tried_.size() < kMaxCarriers
                             ? paths_.Choose(call_.service, tried_)
                             : std::nullopt;
    if (!carrier || unreachable_ >= kCarriersForTarget) {
      // Hosts that decline say nothing about the target.
      const bool is_unknown = unreachable_ == 0 && !tried_.empty();
      return TellEnd(
          {is_unknown ? Errc::kOverloaded : Errc::kTargetUnreachable, false});
    }
    carrier_ = carrier->name;
    tried_.push_back(carrier_);
    LogLine(Severity::kInfo, Event::kRequestCarried)
        .With("request", call_.request_id)
        .With("service", call_.service)
        .With("target", call_.target)
        .With("host", carrier_)
        .With("failing",
              std::uint64_t{paths_.reach_.failing(call_.service, Now())})
        .With("direct", has_tried_directly_)
        .With("took", duration_cast<milliseconds>(Now() - began_));
    SendTo(*carrier);
  }

  void SendTo(const CarrierHost& carrier) {
    http::CallOptions options;
    options.connect_timeout = kCarrierConnectTimeout;
    options.progress_timeout = options_.progress_timeout;
    options.total_timeout = options_.total_timeout;
    options.answer_bytes = options_.answer_bytes;
    options.idle_limit = options_.idle_limit;
    options.probe_silence = true;
    http::CallHooks hooks;
    const auto self = shared_from_this();
    hooks.on_sent = [self] { self->TellSent(); };
    hooks.on_head = [self](const http::Response& head) {
      self->OnCarriedHead(head);
    };
    hooks.on_body = [self](std::string_view bytes) {
      if (self->is_carried_) self->TellBody(bytes);
    };
    hooks.on_end = [self](http::CallEnd end) { self->OnCarriedEnd(end); };
    is_carried_ = false;
    is_garbled_ = false;
    reason_ = kGone;
    current_ = paths_.client_.Open(carrier.address, MakeFrame(), options,
                                   std::move(hooks));
  }

  http::Request MakeFrame() const {
    http::Request request = call_.request();
    wire::CarryHead head;
    head.sender = paths_.self_.value;
    // What the answer names, which a host of an older build reads here.
    head.request = options_.id;
    head.service_name = call_.service.value;
    head.address = call_.address;
    head.progress_ms = options_.progress_timeout.count();
    head.idle_limit_ms = options_.idle_limit.count();
    head.probe_silence = options_.probe_silence;
    head.method = request.method;
    head.target = request.target.empty() ? request.path : request.target;
    for (auto& field : request.fields) {
      wire::CarriedField& out = head.fields.emplace_back();
      out.name = std::move(field.name);
      out.value = std::move(field.value);
    }
    http::Request frame;
    frame.method = "POST";
    frame.path = kCarryPath;
    frame.body = wire::EncodeCarry(head, request.body, paths_.key_);
    return frame;
  }

  void OnCarriedHead(const http::Response& head) {
    if (is_done_) return;
    const auto reason = http::FieldValue(head.fields, kFailedField);
    is_carried_ = reason.empty() && http::HasField(head.fields, kCarriedField);
    answer_.is_own = is_carried_ && http::HasField(head.fields, kOwnField);
    answer_.is_id_reused = !http::HasField(head.fields, kNewIdField);
    if (!is_carried_) {
      is_garbled_ = http::HasField(head.fields, kGarbledField);
      reason_ = reason.empty() ? kDeclined : std::string(reason);
      return;
    }
    paths_.OnCarrierWorked(call_.service, carrier_);
    const http::Response answer = WithoutMark(head);
    const auto owner =
        hooks_.owner ? hooks_.owner(answer) : http::AnswerOwner::kUnnamed;
    // A host of an older build passes on what came first.
    if (owner == http::AnswerOwner::kOtherCall) {
      current_->Cancel();
      return TellEnd({Errc::kTargetFailed, true});
    }
    answer_.is_own = answer_.is_own || owner == http::AnswerOwner::kThisCall;
    if (hooks_.on_head) hooks_.on_head(answer);
  }

  static http::Response WithoutMark(http::Response head) {
    std::erase_if(head.fields, [](const http::Field& field) {
      return field.name == kCarriedField || field.name == kOwnField ||
             field.name == kNewIdField;
    });
    return head;
  }

  void OnCarriedEnd(const http::CallEnd& end) {
    if (is_done_) return;
    if (is_carried_) return TellEnd({end.code, end.sent, answer_});
    // A carrying host that accepted the request and broke off may have sent it.
    const bool may_have_arrived = (reason_ == kGone && end.sent) ||
                                  reason_ == kBroken || reason_ == kSilent;
    LogLine(Severity::kInfo, Event::kCarryFailed)
        .With("request", call_.request_id)
        .With("service", call_.service)
        .With("target", call_.target)
        .With("host", carrier_)
        .With("reason", reason_)
        .With("sent", may_have_arrived);
    if (may_have_arrived) {
      const bool is_silent =
          reason_ == kSilent || end.code == Errc::kTargetUnresponsive;
      return TellEnd(
          {is_silent ? Errc::kTargetUnresponsive : Errc::kTargetFailed,
           true,
           {},
           is_garbled_});
    }
    paths_.OnCarrierFailed(call_.service, carrier_);
    if (reason_ == kUnreachable) ++unreachable_;
    StartCarried();
  }

  void TellSent() {
    if (!is_done_ && hooks_.on_sent) hooks_.on_sent();
  }

  void TellBody(std::string_view bytes) {
    if (!is_done_ && hooks_.on_body) hooks_.on_body(bytes);
  }

  void TellEnd(const http::CallEnd& end) {
    if (std::exchange(is_done_, true)) return;
    current_.reset();
    const http::CallHooks hooks = std::exchange(hooks_, {});
    if (hooks.on_end) hooks.on_end(end);
  }

  TargetPaths& paths_;
  const TargetCall call_;
  const http::CallOptions options_;
  http::CallHooks hooks_;
  const Time began_;
  std::shared_ptr<http::Call> current_;
  std::vector<HostName> tried_;
  std::size_t unreachable_ = 0;  ///< Hosts that made no connection.
  HostName carrier_;
  std::string reason_;       ///< Why `carrier_` passed no answer on.
  bool is_garbled_ = false;  ///< `carrier_` said so of the answer.
  bool has_tried_directly_ = false;
  bool is_carried_ = false;   ///< The target's answer comes over `carrier_`.
  http::AnswerProof answer_;  ///< Of a carried answer.
  bool is_done_ = false;
};

// ---- Calls of other hosts ---------------------------------------------------

/// A request of another host, from its frame to the end of its answer.
class TargetPaths::CarriedCall
    : public std::enable_shared_from_this<CarriedCall> {
 public:
  CarriedCall(TargetPaths& paths, http::ExchangePtr exchange)
      : paths_(paths), exchange_(std::move(exchange)) {
    ++paths_.carrying_;
  }
  ~CarriedCall() { --paths_.carrying_; }
  CarriedCall(const CarriedCall&) = delete;
  CarriedCall& operator=(const CarriedCall&) = delete;

  void Start() {
    std::string_view body;
    const Errc error = paths_.ReadFrame(exchange_, head_, body);
    if (error != Errc::kOk) return Decline(error);
    if (paths_.carrying_ > kMaxCarried) return Decline(Errc::kOverloaded);
    http::Request request = TakeRequest(body);
    if (!http::IsSendable(request)) return Decline(Errc::kMalformedRequest);
    const ServiceName service{head_.service_name};
    if (paths_.reach_.IsServiceOutOfReach(service, Now())) {
      paths_.Probe(service, head_.address);
      return Decline(Errc::kTargetUnreachable);
    }
    ++paths_.carried_for_others_;
    Log({});
    Send(std::move(request));
  }

 private:
  /// The request in the frame, which is not needed any more.
  http::Request TakeRequest(std::string_view body) {
    http::Request request;
    request.method = head_.method;
    request.target = head_.target;
    for (auto& field : head_.fields) {
      request.fields.push_back({std::move(field.name), std::move(field.value)});
    }
    request.body = body;
    exchange_->request().body.clear();
    return request;
  }

  void Decline(Errc code) {
    Log(Info(code).name);
    RespondFailed(kDeclined);
  }

  void Log(std::string_view refused) const {
    LogLine(refused.empty() ? Severity::kInfo : Severity::kWarning,
            Event::kCarriedForHost)
        .With("request", head_.request)
        .With("host", head_.sender)
        .With("service", head_.service_name)
        .With("address", head_.address)
        .With("refused", std::string(refused))
        .With("carrying", std::uint64_t{paths_.carrying_});
  }

  void Send(http::Request request) {
    http::CallOptions options;
    options.connect_timeout = kDirectConnectTimeout;
    options.progress_timeout = milliseconds(head_.progress_ms);
    options.idle_limit = milliseconds(head_.idle_limit_ms);
    options.probe_silence = head_.probe_silence;
    options.id = paths_.hooks_.id_of(request);
    options.answer_bytes = std::numeric_limits<std::uint64_t>::max();
    http::CallHooks hooks;
    const auto self = shared_from_this();
    flow_ = std::make_shared<AnswerFlow>(
        paths_.answer_budget_, [weak = weak_from_this()](bool paused) {
          const auto carried = weak.lock();
          if (!carried || !carried->call_) return;
          paused ? carried->call_->Pause() : carried->call_->Resume();
        });
    const ServiceName service{head_.service_name};
    hooks.owner = [self, id = options.id](const http::Response& head) {
      return self->paths_.hooks_.owner(head, id);
    };
    hooks.on_connected = [self, service] {
      self->paths_.OnReached(service, self->head_.address);
    };
    hooks.on_head = [self, service](const http::Response& head) {
      self->paths_.OnReached(service, self->head_.address);
      self->OnHead(head);
    };
    hooks.on_body = [self](std::string_view bytes) {
      self->flow_->Write(self->exchange_, std::string(bytes));
    };
    hooks.on_end = [self](http::CallEnd end) { self->OnEnd(end); };
    call_ = paths_.client_.Open(head_.address, std::move(request), options,
                                std::move(hooks));
    exchange_->OnGone([weak = weak_from_this()] {
      const auto carried = weak.lock();
      if (!carried) return;
      const auto call = std::exchange(carried->call_, nullptr);
      if (call) call->Cancel();
    });
  }

  void OnHead(const http::Response& head) {
    has_head_ = true;
    status_ = head.status;
    paths_.hooks_.answer_carried({head_.service_name}, head_.address, head);
    http::Response out = head;
    std::erase_if(out.fields, [](const http::Field& field) {
      return field.name == "transfer-encoding" ||
             field.name == "content-length" || field.name == "connection" ||
             field.name == "keep-alive" || field.name == kCarriedField ||
             field.name == kOwnField || field.name == kNewIdField ||
             field.name == kFailedField;
    });
    out.fields.push_back({std::string(kCarriedField), "1"});
    // Only connections with named answers, and without an earlier call of the
    // same id, are used for others.
    out.fields.push_back({std::string(kOwnField), "1"});
    out.fields.push_back({std::string(kNewIdField), "1"});
    exchange_->StartStream(std::move(out));
  }

  void OnEnd(const http::CallEnd& end) {
    call_.reset();
    if (end.code != Errc::kOk || !IsSuccess()) LogEnd(end);
    if (end.code == Errc::kOk) return exchange_->End();
    if (has_head_) return exchange_->Abort();
    const bool is_unreached = end.code == Errc::kTargetUnreachable && !end.sent;
    if (is_unreached) {
      paths_.OnFailed({head_.service_name}, head_.address);
    }
    RespondFailed(ReasonOf(end.code), end.is_garbled);
  }

  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }

  void LogEnd(const http::CallEnd& end) const {
    LogLine(Severity::kInfo, Event::kCarriedEnded)
        .With("request", head_.request)
        .With("host", head_.sender)
        .With("service", head_.service_name)
        .With("address", head_.address)
        .With(end.code)
        .With("status", static_cast<std::uint64_t>(std::max(0, status_)))
        .With("sent", end.sent)
        .With("own", end.answer.is_own)
        .With("id_reused", end.answer.is_id_reused)
        .With("earlier_calls", std::uint64_t{end.answer.earlier_calls})
        .With("skipped", std::uint64_t{end.answer.skipped});
  }

  void RespondFailed(std::string_view reason, bool is_garbled = false) {
    http::Response response;
    response.status = kBadGatewayStatus;
    response.fields.push_back({std::string(kFailedField), std::string(reason)});
    if (is_garbled) {
      response.fields.push_back({std::string(kGarbledField), "1"});
    }
    exchange_->Respond(std::move(response));
  }

  TargetPaths& paths_;
  const http::ExchangePtr exchange_;
  std::shared_ptr<AnswerFlow> flow_;
  /// A paused call has no other owner. Its hooks own this, so it is dropped
  /// when it ends or is cancelled.
  std::shared_ptr<http::Call> call_;
  wire::CarryHead head_;
  bool has_head_ = false;
  int status_ = 0;  ///< Of the target's answer; 0: none.
};

// ---- Paths ------------------------------------------------------------------

TargetPaths::TargetPaths(http::Client& client, HostName self,
                         wire::FleetKey key, std::uint64_t seed,
                         std::shared_ptr<http::BodyBudget> answer_budget,
                         TargetPathsHooks hooks)
    : client_(client),
      self_(std::move(self)),
      key_(std::move(key)),
      answer_budget_(std::move(answer_budget)),
      hooks_(std::move(hooks)),
      random_(seed) {}

std::shared_ptr<http::Call> TargetPaths::Open(TargetCall call,
                                              http::CallOptions options,
                                              http::CallHooks hooks) {
  auto path = std::make_shared<PathCall>(*this, std::move(call),
                                         std::move(options), std::move(hooks));
  path->Start();
  return path;
}

void TargetPaths::Fetch(TargetCall call, http::CallOptions options,
                        http::Client::ReplyHook hook) {
  const auto answer = std::make_shared<http::Response>();
  answer->status = 0;
  http::CallHooks hooks;
  // An answer that names a request is a late one to that.
  hooks.owner = [this, id = options.id](const http::Response& head) {
    return hooks_.owner(head, id);
  };
  hooks.on_head = [answer](const http::Response& head) { *answer = head; };
  hooks.on_body = [answer](std::string_view bytes) { answer->body += bytes; };
  hooks.on_end = [answer, hook = std::move(hook)](http::CallEnd end) {
    hook(end, std::move(*answer));
  };
  Open(std::move(call), std::move(options), std::move(hooks));
}

void TargetPaths::Carry(const http::ExchangePtr& exchange) {
  std::make_shared<CarriedCall>(*this, exchange)->Start();
}

Errc TargetPaths::ReadFrame(const http::ExchangePtr& exchange,
                            wire::CarryHead& head,
                            std::string_view& body) const {
  if (const auto error =
          wire::DecodeCarry(exchange->request().body, key_, head, body)) {
    return ToErrc(error);
  }
  if (!hooks_.may_carry()) return Errc::kDraining;
  const bool is_target = hooks_.accepts({head.service_name}, head.address);
  return is_target ? Errc::kOk : Errc::kNoTarget;
}

void TargetPaths::AskOther(const ServiceName& service,
                           const std::string& address,
                           std::function<void(bool is_reached)> hook) {
  Ask(service, address, {}, std::move(hook));
}

/// Asks one host after the other, because some may be cut off as well.
void TargetPaths::Ask(const ServiceName& service, const std::string& address,
                      std::vector<HostName> asked,
                      std::function<void(bool is_reached)> hook) {
  const auto other =
      asked.size() < kMaxCarriers ? Choose(service, asked) : std::nullopt;
  if (!other) return hook(false);
  asked.push_back(other->name);
  wire::CarryHead head;
  head.sender = self_.value;
  head.service_name = service.value;
  head.address = address;
  http::Request request;
  request.method = "POST";
  request.path = kReachPath;
  request.body = wire::EncodeCarry(head, {}, key_);
  http::CallOptions options;
  options.connect_timeout = kCarrierConnectTimeout;
  options.total_timeout = 2 * kDirectConnectTimeout;
  client_.Fetch(other->address, std::move(request), options,
                [this, service, address, asked = std::move(asked),
                 hook = std::move(hook)](const http::CallEnd& end,
                                         const http::Response& answer) mutable {
                  const bool is_reached =
                      end.code == Errc::kOk &&
                      http::HasField(answer.fields, kReachedField);
                  if (is_reached) return hook(true);
                  Ask(service, address, std::move(asked), std::move(hook));
                });
}

void TargetPaths::AnswerOther(const http::ExchangePtr& exchange) {
  wire::CarryHead head;
  std::string_view body;
  const Errc error = ReadFrame(exchange, head, body);
  if (error != Errc::kOk) {
    http::Response response;
    response.status = Info(error).http_status;
    return exchange->Respond(std::move(response));
  }
  const ServiceName service{head.service_name};
  client_.Connect(
      head.address, kDirectConnectTimeout,
      [this, exchange, service, address = head.address](bool is_connected) {
        http::Response response;
        if (is_connected) {
          OnReached(service, address);
          response.fields.push_back({std::string(kReachedField), "1"});
        } else {
          OnFailed(service, address);
        }
        exchange->Respond(std::move(response));
      });
}

std::size_t TargetPaths::services_out_of_reach() const {
  return reach_.services_out_of_reach(Now());
}

void TargetPaths::OnReached(const ServiceName& service,
                            const std::string& address) {
  if (!reach_.RecordReached(service, address, Now())) return;
  LogLine(Severity::kInfo, Event::kPathBack)
      .With("service", service)
      .With("address", address);
}

void TargetPaths::OnFailed(const ServiceName& service,
                           const std::string& address) {
  const Time now = Now();
  const Time reached_at = reach_.reached_at(service);
  if (!reach_.RecordFailed(service, address, now)) return;
  LogLine line(Severity::kWarning, Event::kPathLost);
  line.With("service", service)
      .With("targets", std::uint64_t{reach_.failing(service, now)});
  if (reached_at != Time()) {
    line.With("after", duration_cast<milliseconds>(now - reached_at));
  }
}

void TargetPaths::Probe(const ServiceName& service,
                        const std::string& address) {
  if (!reach_.TakeProbe(service, Now())) return;
  client_.Connect(address, kDirectConnectTimeout,
                  [this, service, address](bool is_connected) {
                    if (is_connected) return OnReached(service, address);
                    OnFailed(service, address);
                  });
}

std::optional<CarrierHost> TargetPaths::Choose(
    const ServiceName& service, const std::vector<HostName>& tried) {
  const Time now = Now();
  std::vector<CarrierHost> worked;
  std::vector<CarrierHost> unknown;
  std::vector<CarrierHost> failed;
  for (auto& carrier : hooks_.carriers()) {
    if (std::find(tried.begin(), tried.end(), carrier.name) != tried.end())
      continue;
    const auto at = carriers_.find({service, carrier.name});
    const CarrierRecord record =
        at == carriers_.end() ? CarrierRecord{} : at->second;
    const bool has_failed = now - record.failed_at < kCarrierMemory;
    const bool has_worked = now - record.worked_at < kCarrierMemory;
    auto& list = has_failed && record.failed_at >= record.worked_at ? failed
                 : has_worked                                       ? worked
                                                                    : unknown;
    list.push_back(std::move(carrier));
  }
  // Some requests go to hosts that are not known to work, to spread the load.
  const bool explores = random_() % 4 == 0;
  const auto& list = !unknown.empty() && (explores || worked.empty()) ? unknown
                     : !worked.empty()                                ? worked
                                                                      : failed;
  // Where all hosts are cut off they must not ask each other in turn.
  const bool is_hopeless = &list == &failed && !tried.empty();
  if (list.empty() || is_hopeless) return std::nullopt;
  std::vector<std::uint32_t> capacities;
  for (const auto& carrier : list) capacities.push_back(carrier.capacity);
  return list[PickWeighted(capacities, random_)];
}

void TargetPaths::OnCarrierFailed(const ServiceName& service,
                                  const HostName& host) {
  carriers_[{service, host}].failed_at = Now();
}

void TargetPaths::OnCarrierWorked(const ServiceName& service,
                                  const HostName& host) {
  ++carried_by_others_;
  carriers_[{service, host}].worked_at = Now();
}

}  // namespace comfreyflow::gateway
