// The target that writes copies of its refusals.
#include "platform/copying-target.h"

#include <algorithm>
#include <utility>

namespace comfreyflow::platform {

using std::chrono::milliseconds;

namespace {

/// Long enough for the other end to read what was written before.
constexpr milliseconds kApart{20};

std::size_t BodySize(const std::string& head) {
  const std::string length = HeaderIn(head, "content-length");
  return length.empty() ? 0 : std::stoul(length);
}

}  // namespace

struct CopyingTarget::Link {
  RawTarget::Socket socket;
  std::string read;
  std::string head;         ///< Of the request under way; empty: none.
  std::size_t missing = 0;  ///< Bytes of its body.
  std::string owed;         ///< Copies for the next request.
  bool has_refused = false;
};

CopyingTarget::CopyingTarget(Site& site, const std::string& service,
                             const std::string& name, RunsOf& runs,
                             Behaviour behaviour, Decision decision)
    : runs_(runs),
      behaviour_(behaviour),
      decision_(std::move(decision)),
      target_(site.AddRawTarget(
          service, name,
          [this](const RawTarget::Socket& socket, const std::string& bytes) {
            const auto link = std::make_shared<Link>();
            link->socket = socket;
            link->read = bytes;
            OnBytes(link);
            return false;
          })) {}

void CopyingTarget::Read(const LinkPtr& link) {
  const auto buffer = std::make_shared<std::string>(4096, '\0');
  link->socket->async_read_some(
      boost::asio::buffer(*buffer),
      [this, link, buffer](const boost::system::error_code& error,
                           std::size_t size) {
        if (error) {
          closed_ += link->owed.empty() ? 0 : 1;
          return;
        }
        link->read.append(*buffer, 0, size);
        OnBytes(link);
      });
}

void CopyingTarget::OnBytes(const LinkPtr& link) {
  if (link->head.empty()) {
    const auto end = link->read.find("\r\n\r\n");
    if (end == std::string::npos) return Read(link);
    link->head = link->read.substr(0, end + 4);
    link->read.erase(0, end + 4);
    link->missing = BodySize(link->head);
    return OnHead(link);
  }
  const std::size_t size = std::min(link->missing, link->read.size());
  link->read.erase(0, size);
  link->missing -= size;
  if (link->missing > 0) return Read(link);
  Answer(link);
}

void CopyingTarget::OnHead(const LinkPtr& link) {
  if (link->has_refused) ++behind_refusal_;
  const bool is_due = behaviour_.time == CopyTime::kAtNextHead ||
                      (behaviour_.time == CopyTime::kInNextBody &&
                       link->missing > link->read.size());
  if (!is_due || link->owed.empty()) return OnBytes(link);
  Write(link, TakeCopies(link));
  After(link, kApart, [this, link] { OnBytes(link); });
}

void CopyingTarget::Answer(const LinkPtr& link) {
  if (link->head.starts_with("POST /order ")) {
    Write(link, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    link->head.clear();
    return Read(link);
  }
  ++requests_;
  const int time = ++times_[HeaderIn(link->head, "x-request-id")];
  const std::string refusal = decision_(link->head, time);
  if (!refusal.empty()) return Refuse(link, refusal);
  const auto path = link->head.substr(0, link->head.find(" HTTP/"));
  ++runs_[HeaderIn(link->head, "x-request-id") + " " +
          path.substr(path.find(' ') + 1)];
  if (behaviour_.run_time == milliseconds::zero()) return Run(link);
  if (behaviour_.time == CopyTime::kWithAnswer) Write(link, TakeCopies(link));
  After(link, behaviour_.run_time, [this, link] { Run(link); });
}

void CopyingTarget::Refuse(const LinkPtr& link, const std::string& refusal) {
  ++refusals_;
  link->has_refused = true;
  std::string answer = "HTTP/1.1 " + refusal + "\r\nX-Not-Run: 1\r\n";
  if (behaviour_.names_request) {
    answer += "X-Request-Id: " + HeaderIn(link->head, "x-request-id") + "\r\n";
  }
  answer += "Content-Length: 0\r\n\r\n";
  std::string text =
      behaviour_.time == CopyTime::kWithAnswer ? TakeCopies(link) : "";
  text += answer;
  for (int i = 0; i < behaviour_.copies; ++i) link->owed += answer;
  if (behaviour_.time == CopyTime::kAtOnce) text += TakeCopies(link);
  Write(link, text);
  if (behaviour_.time == CopyTime::kAfterDelay) {
    After(link, behaviour_.delay,
          [this, link] { Write(link, TakeCopies(link)); });
  }
  link->head.clear();
  Read(link);
}

void CopyingTarget::Run(const LinkPtr& link) {
  const bool is_stream = link->head.starts_with("POST /stream/");
  const std::string body = is_stream ? "id: 1\ndata: x\n\n" : "ok";
  std::string text =
      behaviour_.time == CopyTime::kWithAnswer ? TakeCopies(link) : "";
  text += SuccessHead(link->head, true) +
          (is_stream ? "Content-Type: text/event-stream\r\n" : "") +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (behaviour_.time == CopyTime::kBehind) text += TakeCopies(link);
  Write(link, text);
  if (behaviour_.time == CopyTime::kShortlyAfter) {
    After(link, kApart, [this, link] { Write(link, TakeCopies(link)); });
  }
  link->head.clear();
  Read(link);
}

std::string CopyingTarget::TakeCopies(const LinkPtr& link) {
  if (!link->owed.empty()) copies_ += behaviour_.copies;
  return std::exchange(link->owed, {});
}

void CopyingTarget::Write(const LinkPtr& link, const std::string& text) {
  boost::system::error_code ignored;
  if (!text.empty()) {
    boost::asio::write(*link->socket, boost::asio::buffer(text), ignored);
  }
}

void CopyingTarget::After(const LinkPtr& link, milliseconds delay,
                          std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      link->socket->get_executor(), delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error) action();
  });
}

CopyingTarget::Decision RefusesFirst(const std::string& status) {
  return [status](const std::string&, int time) {
    return time == 1 ? status : std::string();
  };
}

CopyingTarget::Decision RefusesNothing() {
  return [](const std::string&, int) { return std::string(); };
}

void Pause(Site& site, milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  site.Until([end] { return std::chrono::steady_clock::now() >= end; });
}

}  // namespace comfreyflow::platform
