/// Small stand-ins of the users' platform for tests: its store, a target that
/// speaks its headers, and a fixture that runs hosts beside them, all on one
/// thread.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "platform/host.h"

namespace comfreyflow::platform {

/// An address of the loopback network for each host, another one for each
/// process, so that fixed ports are free however many tests run at once.
std::string LoopbackIp(std::size_t host);
inline constexpr std::size_t kMostLoopbackHosts = 250;

/// The configuration of tests: a route of each kind, a plain service and one of
/// engines, one account.
nlohmann::json SampleConfig(std::uint64_t version);
/// Sets the time limit and the objective of all routes of a configuration.
void SetRouteTimes(nlohmann::json& config, std::chrono::milliseconds limit,
                   std::chrono::milliseconds objective);
/// Replaces the keys of the account of a configuration.
void SetAccountKey(nlohmann::json& config, const std::string& key);
/// A target's entry in the store.
nlohmann::json SampleEntry(const std::string& service,
                           const std::string& address,
                           const std::string& failure_domain,
                           const std::string& state);

/// The store: objects by kind and name, lists and watches.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io);

  std::string address() const;
  /// One more address at which the store is reached.
  std::string AddAddress();
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  /// Puts an object whose `Spec` is sent as this text, which may be no JSON.
  void PutText(const std::string& kind, const std::string& name,
               const std::string& text);
  void Remove(const std::string& kind, const std::string& name);
  bool Has(const std::string& kind, const std::string& name) const;
  /// While it is down each call is answered 503, waiting watches too.
  void SetDown(bool down);
  /// Calls for objects of this kind are answered 503 from now on.
  void SetKindDown(const std::string& kind, bool down);
  /// What comes by this address, of `AddAddress`, is broken off from now on,
  /// waiting watches too.
  void SetAddressDown(const std::string& address, bool down);
  /// Objects in an answer at most.
  void SetPageSize(std::size_t size) { page_size_ = size; }
  /// The next writes are done and not answered.
  void LoseAnswers(int count) { lost_answers_ = count; }
  /// The next writes are refused as in an outage.
  void RefuseWrites(int count) { refused_writes_ = count; }
  std::size_t calls() const { return calls_; }
  /// Calls that named this kind.
  std::size_t calls(const std::string& kind) const {
    const auto at = calls_by_kind_.find(kind);
    return at == calls_by_kind_.end() ? 0 : at->second;
  }
  /// Drops its history: watches from before are told to list anew.
  void Forget();
  /// Watches that wait now are never answered, nor are they cut.
  void LoseWatches();

  /// What the store held at one moment.
  struct Copy {
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::uint64_t revision = 0;
  };
  Copy TakeCopy() const { return {objects_, revision_}; }
  /// Replaces all objects by those of a copy and starts the next era, in which
  /// revisions go on from the copy's. Waiting watches are cut.
  void Restore(const Copy& copy);
  std::uint64_t era() const { return era_; }
  std::uint64_t revision() const { return revision_; }
  /// Sends this text as the era in all answers; none is sent if it is empty.
  void SetEraText(std::optional<std::string> text) {
    era_text_ = std::move(text);
  }
  /// Number of lists of a kind that were answered.
  std::size_t lists(const std::string& kind) const {
    const auto at = lists_.find(kind);
    return at == lists_.end() ? 0 : at->second;
  }

 private:
  struct Waiting {
    std::string kind;
    std::uint64_t since = 0;
    http::ExchangePtr exchange;
    std::string address;  ///< Of `AddAddress`, or empty.
  };
  struct Event {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json event;
  };

  void Handle(http::ExchangePtr exchange, const std::string& address);
  void Note(const std::string& kind, const nlohmann::json& object,
            bool removed);
  bool Answer(const Waiting& waiting);
  /// An answer with the store's era.
  http::Response Reply(int status, const nlohmann::json& body) const;

  std::shared_ptr<http::BodyBudget> budget_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<Event> events_;
  std::vector<Waiting> waiting_;
  std::vector<Waiting> lost_;  ///< Held open, never answered.
  std::uint64_t revision_ = 1;
  std::size_t page_size_ = 500;
  int lost_answers_ = 0;
  int refused_writes_ = 0;
  std::size_t calls_ = 0;
  std::map<std::string, std::size_t> calls_by_kind_;
  std::set<std::string> kinds_down_;
  std::set<std::string> addresses_down_;
  std::uint64_t forgotten_ = 0;  ///< Changes up to here are gone.
  std::uint64_t era_ = 1;
  std::optional<std::string> era_text_;  ///< Sent in place of `era_`.
  std::map<std::string, std::size_t> lists_;
  std::vector<std::string> texts_;  ///< Sent in place of marks in answers.
  bool down_ = false;
  boost::asio::io_context& io_;
  http::Server server_;
  std::vector<std::unique_ptr<http::Server>> more_servers_;
};

/// A target that answers as a test says and notes what came.
class FakeTarget {
 public:
  using Handler = std::function<void(const http::ExchangePtr&)>;

  FakeTarget(boost::asio::io_context& io, std::string name);

  const std::string& name() const { return name_; }
  std::string address() const;
  /// Requests that came, orders apart.
  const std::vector<http::Request>& requests() const { return requests_; }
  const std::vector<nlohmann::json>& orders() const { return orders_; }
  void OnRequest(Handler handler) { handler_ = std::move(handler); }
  /// What is meant for a target of another name; else it is answered 421.
  void OnMisdirected(Handler handler) { misdirected_ = std::move(handler); }
  /// The target starts anew under another name at its address.
  void Rename(std::string name) { name_ = std::move(name); }
  /// Fields of the answers to orders.
  void SetOrderFields(http::Fields fields) {
    order_fields_ = std::move(fields);
  }

  /// Head of an answer of this target to the request.
  http::Response Head(const http::Request& request, int status = 200) const;
  /// Takes one request on each connection from now on.
  void CloseAfterAnswers() { keeps_connections_ = false; }
  /// Breaks all connections with open requests and takes no new ones.
  void Crash();
  /// Breaks the connection off once what was written is out.
  void AbortLater(const http::ExchangePtr& exchange) const;
  /// Calls `action` after `delay`.
  void After(std::chrono::milliseconds delay,
             std::function<void()> action) const;
  /// Writes `count` events from `first` on; `End` or `Abort` follow.
  static void WriteEvents(const http::ExchangePtr& exchange, int first,
                          int count);

 private:
  http::ServerHooks ServerHooks();
  void Handle(const http::ExchangePtr& exchange);

  boost::asio::io_context& io_;
  std::string name_;
  std::shared_ptr<http::BodyBudget> budget_;
  std::vector<http::Request> requests_;
  std::vector<nlohmann::json> orders_;
  http::Fields order_fields_;
  Handler handler_;
  Handler misdirected_;
  std::vector<std::weak_ptr<http::Exchange>> open_;
  bool crashed_ = false;
  bool keeps_connections_ = true;
  http::Server server_;
};

/// A target that writes bytes as a test gives them, whatever HTTP says.
class RawTarget {
 public:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  /// Takes what came first on a connection, a head and part of its body;
  /// whether to read on.
  using Handler = std::function<bool(Socket, const std::string& bytes)>;

  RawTarget(boost::asio::io_context& io, std::string name, Handler handler);

  const std::string& name() const { return name_; }
  std::string address() const;
  /// All that came after the first read, on any connection.
  const std::string& rest() const { return rest_; }
  std::size_t connections() const { return connections_; }

  /// Closes the connection so that the other end reads a reset.
  static void Reset(const Socket& socket);

 private:
  void Accept();
  void Read(const Socket& socket, bool first);

  const std::string name_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string rest_;
  std::vector<Socket> silent_;  ///< Open, and not read any more.
  std::size_t connections_ = 0;
};

/// Start of the head of a success, up to its last field: it names the request
/// and bears the target's mark, if `is_marked`.
std::string SuccessHead(const std::string& request, bool is_marked);

/// Value of a header in a head as it came, or empty.
std::string HeaderIn(const std::string& head, const std::string& name);

/// What a caller got.
struct Answer {
  std::shared_ptr<http::Call> call;
  bool ended = false;
  bool whole = false;
  http::Response response;
};

/// What a new connection from a host to a target meets.
enum class TargetPath : std::uint8_t {
  kOpen,
  kHangs,    ///< It is neither accepted nor refused.
  kRefused,  ///< It is refused at once.
};

/// An address at which connections are neither accepted nor refused.
class BlackHole {
 public:
  explicit BlackHole(boost::asio::io_context& io);
  std::string address() const;

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  /// Fill the queue of connections that wait to be accepted.
  std::vector<boost::asio::ip::tcp::socket> fillers_;
};

/// Store, targets and hosts on one loop, and a caller.
class Site {
 public:
  Site();
  ~Site();

  FakeStore& store() { return *store_; }
  /// A target that is listed as ready.
  FakeTarget& AddTarget(const std::string& service, const std::string& name);
  void List(const std::string& service, const FakeTarget& target,
            const std::string& state = "ready");
  /// Lists the target as ready in a failure domain.
  void ListIn(const std::string& failure_domain, const std::string& service,
              const FakeTarget& target);
  /// Lists the target as ready for so many requests at once.
  void SetSlots(const std::string& service, const FakeTarget& target,
                int slots);
  RawTarget& AddRawTarget(const std::string& service, const std::string& name,
                          RawTarget::Handler handler);
  /// `SampleConfig`, changed.
  void PutConfig(std::uint64_t version,
                 const std::function<void(nlohmann::json&)>& change = {});
  /// Time from the stop of a host to its end, for hosts that start from now on.
  void SetStopTime(Duration time) { stop_time_ = time; }
  /// Hosts that start from now on follow which domains are evacuated.
  void SetEvacuationTime(Duration time) { evacuation_time_ = time; }
  /// Changes the settings of hosts that start from now on.
  void SetSettings(std::function<void(HostSettings&)> change) {
    change_settings_ = std::move(change);
  }
  /// Whether the host reaches the store. Its open calls are broken off.
  void SetStorePath(std::size_t host, bool open) {
    store_->SetAddressDown(settings_.at(host).store, !open);
  }
  /// Starts a host; returns its number.
  std::size_t AddHost();
  /// Sets what new connections from the host to any target of a service meet.
  /// Open ones go on.
  void SetPath(std::size_t host, const std::string& service, TargetPath path);
  Host& host(std::size_t number) { return *hosts_.at(number); }
  const HostSettings& settings(std::size_t number) const {
    return settings_.at(number);
  }
  bool stopped() const { return io_.stopped(); }

  /// Runs the loop until `done` or ten seconds have passed; whether it is done.
  bool Until(const std::function<bool()>& done);
  /// Runs the loop until the host says that it is ready.
  bool UntilReady(std::size_t number);
  /// Sends a request to a host; fields are added to the usual ones.
  std::shared_ptr<Answer> Send(std::size_t number, const std::string& method,
                               const std::string& path,
                               const http::Fields& fields = {},
                               const std::string& body = "");
  /// The same, and waits for the answer.
  Answer Call(std::size_t number, const std::string& method,
              const std::string& path, const http::Fields& fields = {},
              const std::string& body = "");
  Answer Get(const std::string& address, const std::string& path);
  /// Sends a request as it is and waits for the answer.
  Answer Fetch(const std::string& address, http::Request request);
  /// Value of a metric without labels of a host, or "absent".
  std::string Metric(std::size_t number, const std::string& name);
  /// Sends bytes on a connection of their own; all that came back until it was
  /// closed or nothing more came.
  std::string SendBytes(std::size_t number, const std::string& bytes);

 private:
  void ListAt(const std::string& service, const std::string& name,
              const std::string& address, const std::string& state);
  /// The address at which the host meets what listens at `address`.
  std::string PathTo(std::size_t host, const std::string& address) const;

  boost::asio::io_context io_{1};
  http::Client client_;
  std::unique_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<std::unique_ptr<RawTarget>> raw_targets_;
  std::vector<HostSettings> settings_;
  std::vector<std::unique_ptr<Host>> hosts_;
  /// Service of each target, by address.
  std::map<std::string, std::string> service_at_;
  /// Paths that are not open, by host and service.
  std::map<std::pair<std::size_t, std::string>, TargetPath> paths_;
  std::unique_ptr<BlackHole> black_hole_;
  std::function<void(HostSettings&)> change_settings_;
  Duration stop_time_ = std::chrono::seconds(2);
  std::optional<Duration> evacuation_time_;
  int next_id_ = 0;
};

}  // namespace comfreyflow::platform
