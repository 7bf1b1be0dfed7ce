/// Small stand-ins of the users' platform for tests: its store, a target that
/// speaks its headers, and a fixture that runs hosts beside them, all on one
/// thread.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "platform/host.h"

namespace comfreyflow::platform {

/// The store: objects by kind and name, lists and watches.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io);

  std::string address() const;
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  bool Has(const std::string& kind, const std::string& name) const;
  /// While it is down each call is answered 503, waiting watches too.
  void SetDown(bool down);

 private:
  struct Waiting {
    std::string kind;
    std::uint64_t since = 0;
    http::ExchangePtr exchange;
  };
  struct Event {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json event;
  };

  void Handle(http::ExchangePtr exchange);
  void Note(const std::string& kind, const nlohmann::json& object,
            bool removed);
  bool Answer(const Waiting& waiting);

  std::shared_ptr<http::BodyBudget> budget_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<Event> events_;
  std::vector<Waiting> waiting_;
  std::uint64_t revision_ = 1;
  bool down_ = false;
  http::Server server_;
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

  /// Head of an answer of this target to the request.
  http::Response Head(const http::Request& request, int status = 200) const;
  /// Breaks the connection off once what was written is out.
  void AbortLater(const http::ExchangePtr& exchange) const;
  /// Writes `count` events from `first` on; `End` or `Abort` follow.
  static void WriteEvents(const http::ExchangePtr& exchange, int first,
                          int count);

 private:
  void Handle(const http::ExchangePtr& exchange);

  boost::asio::io_context& io_;
  const std::string name_;
  std::shared_ptr<http::BodyBudget> budget_;
  std::vector<http::Request> requests_;
  std::vector<nlohmann::json> orders_;
  Handler handler_;
  http::Server server_;
};

/// What a caller got.
struct Answer {
  std::shared_ptr<http::Call> call;
  bool ended = false;
  bool whole = false;
  http::Response response;
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
  /// The configuration of tests: one route of each kind, one account.
  void PutConfig(std::uint64_t version,
                 const std::function<void(nlohmann::json&)>& change = {});
  /// Starts a host; returns its number.
  std::size_t AddHost();
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

 private:
  boost::asio::io_context io_{1};
  http::Client client_;
  std::unique_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<HostSettings> settings_;
  std::vector<std::unique_ptr<Host>> hosts_;
  int next_id_ = 0;
};

}  // namespace comfreyflow::platform
