// Sends and receives signed envelopes of messages between hosts.
#include "node/peer-links.h"

#include <utility>

#include "node/answer.h"
#include "node/log.h"

namespace comfreyflow::node {
namespace {

constexpr const char* kPeerPath = "/peer";
constexpr std::chrono::milliseconds kPeerTimeout{1000};

}  // namespace

void PeerLinks::Send(const HostName& to, const wire::Body& body) {
  std::vector<wire::Body> bodies;
  {
    const std::lock_guard lock(mutex_);
    Link& link = links_[to];
    if (link.pending.size() >= kMaxPendingMessages) {
      ++dropped_;
      return;
    }
    link.pending.push_back(body);
    if (link.in_flight) return;
    link.in_flight = true;
    bodies.swap(link.pending);
  }
  SendBatch(to, std::move(bodies));
}

void PeerLinks::SendBatch(const HostName& to, std::vector<wire::Body> bodies) {
  const std::size_t messages = bodies.size();
  const std::string address = deps_.address(to);
  if (address.empty()) return HandleSent(to, false, messages);
  wire::Envelope envelope;
  envelope.host = deps_.self.value;
  envelope.incarnation = static_cast<std::int64_t>(deps_.incarnation.value);
  envelope.to = to.value;
  envelope.bodies = std::move(bodies);
  http::Request request;
  request.method = "POST";
  request.path = kPeerPath;
  request.body = wire::EncodeEnvelope(envelope, deps_.key);
  http::CallOptions options;
  options.connect_timeout = kPeerTimeout;
  options.progress_timeout = kPeerTimeout;
  deps_.client->Fetch(
      address, std::move(request), options,
      [this, to, messages](http::CallEnd end, const http::Response& answer) {
        HandleSent(to, end.code == Errc::kOk && answer.status == 200, messages);
      });
}

void PeerLinks::HandleSent(const HostName& to, bool delivered,
                           std::size_t messages) {
  std::vector<wire::Body> bodies;
  {
    const std::lock_guard lock(mutex_);
    if (!delivered) dropped_ += messages;
    Link& link = links_[to];
    if (link.pending.empty()) {
      link.in_flight = false;
      return;
    }
    bodies.swap(link.pending);
  }
  SendBatch(to, std::move(bodies));
}

Errc PeerLinks::AdmitHead(const http::Request& head) const {
  if (head.path != kPeerPath) return Errc::kNotFound;
  return head.method == "POST" ? Errc::kOk : Errc::kMethodNotAllowed;
}

void PeerLinks::Handle(const http::ExchangePtr& exchange) const {
  wire::Envelope envelope;
  const auto error =
      wire::DecodeEnvelope(exchange->request().body, deps_.key, envelope);
  if (error || envelope.to != deps_.self.value) {
    const Errc code = error ? ToErrc(error) : Errc::kPeerRefused;
    LogLine(Severity::kWarning, Event::kPeerRefused).With(code);
    return exchange->Respond(ErrorResponse(FailureOf(code)));
  }
  exchange->Respond({});
  const HostName from{envelope.host};
  const Incarnation incarnation{
      static_cast<std::uint64_t>(envelope.incarnation)};
  for (const auto& body : envelope.bodies) {
    deps_.on_message(from, incarnation, body);
  }
}

std::uint64_t PeerLinks::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace comfreyflow::node
