// Planned stops of host processes: signals, configurations, placers and
// connections in the time between SIGTERM and the end of the process.
#include <doctest/doctest.h>
#include <signal.h>

#include <filesystem>

#include "platform/stand-ins.h"
#include "soak/host-process.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using platform::Answer;
using platform::FakeStore;
using platform::FakeTarget;
using platform::LoopbackIp;
using platform::SampleConfig;
using platform::SampleEntry;
using soak::HostProcess;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kMostHosts = 2;

/// Host processes beside stand-ins of the store and the targets, which run on
/// the test's thread.
class Fleet {
 public:
  Fleet() {
    std::filesystem::create_directories(directory_);
    PutConfig(1, [](Json&) {});
  }
  ~Fleet() {
    hosts_.clear();
    std::filesystem::remove_all(directory_);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  FakeTarget& AddTarget(const std::string& service, int slots) {
    targets_.push_back(std::make_unique<FakeTarget>(
        io_, "i" + std::to_string(targets_.size() + 1)));
    FakeTarget& target = *targets_.back();
    Json entry = SampleEntry(service, target.address(), "z1", "ready");
    entry["Slots"] = slots;
    store_.Put("servers", target.name(), entry);
    return target;
  }

  void PutConfig(std::uint64_t version,
                 const std::function<void(Json&)>& change) {
    Json config = SampleConfig(version);
    // A long objective keeps a target that works from being taken for silent.
    platform::SetRouteTimes(config, kTimeout, kTimeout);
    change(config);
    store_.Put("config", "main", config);
  }

  /// Starts a host and waits until it is ready.
  HostProcess& AddHost() {
    soak::HostPlan plan;
    plan.program = Program();
    plan.directory = directory_.string();
    plan.name = "host" + std::to_string(hosts_.size());
    plan.failure_domain = "z1";
    plan.ip = LoopbackIp(hosts_.size());
    plan.store = store_.address();
    for (std::size_t i = 0; i < kMostHosts; ++i) {
      plan.seeds.push_back(LoopbackIp(i));
    }
    hosts_.push_back(std::make_unique<HostProcess>(plan));
    HostProcess& host = *hosts_.back();
    host.Start();
    REQUIRE(Until([&] {
      const auto answer = Fetch(host.At(soak::kReadyPort), "GET", "/readyz");
      Until([&answer] { return answer->ended; });
      return answer->whole && answer->response.status == 200;
    }));
    return host;
  }

  /// Whether the host holds the placer of the service, once it knows another.
  bool Holds(const HostProcess& host, const std::string& service) {
    constexpr int kOperatorPort = 9464;
    std::string holder;
    REQUIRE(Until([&] {
      const auto dump = Fetch(host.At(kOperatorPort), "GET", "/dump");
      Until([&dump] { return dump->ended; });
      const Json json = Json::parse(dump->response.body, nullptr, false);
      if (!dump->whole || !json.is_object()) return false;
      if (json.at("hosts").size() < kMostHosts) return false;
      holder = json.at("services").at(service).at("holder");
      return !holder.empty();
    }));
    return holder == host.plan().name;
  }

  /// Runs the loop until `done` or twenty seconds have passed.
  bool Until(const std::function<bool()>& done) {
    const auto limit = Clock::now() + seconds(20);
    while (!done()) {
      if (Clock::now() > limit) return false;
      io_.run_for(milliseconds(5));
    }
    return true;
  }
  bool UntilGone(HostProcess& host) {
    return Until([&host] { return !host.Running(); });
  }

  std::shared_ptr<Answer> Send(const HostProcess& host,
                               const std::string& method,
                               const std::string& path) {
    return Fetch(host.At(soak::kCallerPort), method, path);
  }

  Tcp::socket Connect(const HostProcess& host) {
    constexpr int kReceiveBytes = 16 * 1024;
    Tcp::socket socket(io_);
    socket.open(Tcp::v4());
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket.connect({boost::asio::ip::make_address(host.plan().ip),
                    static_cast<std::uint16_t>(soak::kCallerPort)});
    return socket;
  }

 private:
  static constexpr milliseconds kTimeout{15'000};

  static std::string Program() {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
           "comfreyflow-host";
  }

  std::shared_ptr<Answer> Fetch(const std::string& address,
                                const std::string& method,
                                const std::string& path) {
    http::Request request;
    request.method = method;
    request.target = path;
    request.fields = {{"host", "a.example"},
                      {"x-request-id", "id" + std::to_string(++next_id_)},
                      {"x-deadline-ms", std::to_string(kTimeout.count())},
                      {"x-token-count", "2000,100"},
                      {"authorization", "Token key1"}};
    http::CallOptions options;
    options.fresh_connection = true;
    options.progress_timeout = kTimeout;
    const auto answer = std::make_shared<Answer>();
    answer->call =
        client_.Fetch(address, std::move(request), options,
                      [answer](http::CallEnd end, http::Response response) {
                        answer->ended = true;
                        answer->whole = end.code == Errc::kOk;
                        answer->response = std::move(response);
                      });
    return answer;
  }

  const std::filesystem::path directory_ =
      std::filesystem::temp_directory_path() /
      ("comfreyflow-stop-" + std::to_string(::getpid()));
  boost::asio::io_context io_{1};
  http::Client client_{io_};
  FakeStore store_{io_};
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  int next_id_ = 0;
};

void AnswersAfter(FakeTarget& target, milliseconds work,
                  std::size_t bytes = 0) {
  target.OnRequest([&target, work, bytes](const http::ExchangePtr& exchange) {
    target.After(work, [&target, exchange, bytes] {
      http::Response answer = target.Head(exchange->request());
      answer.body = std::string(bytes, 'x');
      exchange->Respond(std::move(answer));
    });
  });
}

const std::string kKeptRequest =
    "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: kept\r\n"
    "x-deadline-ms: 15000\r\nauthorization: Token key1\r\n\r\n";

/// Reads what has arrived, without waiting.
void ReadArrived(Tcp::socket& socket, std::string& read) {
  boost::system::error_code ignored;
  std::string buffer(socket.available(ignored), '\0');
  if (buffer.empty()) return;
  buffer.resize(socket.read_some(boost::asio::buffer(buffer), ignored));
  read += buffer;
}

/// Reads to the end of a connection whose other end is gone.
std::string ReadRest(Tcp::socket& socket) {
  std::string read;
  boost::system::error_code ignored;
  boost::asio::read(socket, boost::asio::dynamic_buffer(read), ignored);
  return read;
}

/// Bytes of the body, or nothing while the head is incomplete.
std::size_t BodyBytes(const std::string& answer) {
  const auto head = answer.find("\r\n\r\n");
  return head == std::string::npos ? 0 : answer.size() - head - 4;
}

}  // namespace

TEST_CASE("signals and a configuration in a stop cut a running request") {
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 8);
  AnswersAfter(target, milliseconds(1500));
  HostProcess& host = fleet.AddHost();
  const auto order = fleet.Send(host, "POST", "/unsafe/1");
  const auto lookup = fleet.Send(host, "GET", "/safe/1");
  REQUIRE(fleet.Until([&] { return target.requests().size() == 2; }));
  host.Signal(SIGTERM);
  fleet.PutConfig(2, [](Json& config) {
    platform::SetRouteTimes(config, milliseconds(100), milliseconds(50));
    platform::SetAccountKey(config, "key2");
  });
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGHUP}) {
    host.Signal(signal);
    const auto next = Clock::now() + milliseconds(100);
    fleet.Until([next] { return Clock::now() > next; });
  }
  REQUIRE(fleet.UntilGone(host));
  CHECK(host.status() == 0);
  for (const auto& answer : {order, lookup}) {
    CHECK(answer->whole);
    CHECK(answer->response.status == 200);
  }
  CHECK(target.requests().size() == 2);
}

TEST_CASE("requests that wait at a placer are lost when its host stops") {
  constexpr std::size_t kRequests = 5;
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 1);
  AnswersAfter(target, milliseconds(1000));
  HostProcess& first = fleet.AddHost();
  HostProcess& second = fleet.AddHost();
  const bool first_holds = !fleet.Holds(second, "app");
  REQUIRE(fleet.Holds(first, "app") == first_holds);
  HostProcess& holder = first_holds ? first : second;
  HostProcess& other = first_holds ? second : first;
  std::vector<std::shared_ptr<Answer>> answers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    answers.push_back(fleet.Send(other, "POST", "/unsafe/1"));
  }
  REQUIRE(fleet.Until([&] { return !target.requests().empty(); }));
  holder.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(holder));
  REQUIRE(fleet.Until([&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer->ended; });
  }));
  for (const auto& answer : answers) {
    CHECK(answer->whole);
    CHECK(answer->response.status == 200);
  }
  CHECK(target.requests().size() == kRequests);
}

TEST_CASE("a host that left keeps the place of its request") {
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 1);
  std::vector<http::ExchangePtr> held;
  target.OnRequest([&](const http::ExchangePtr& exchange) {
    if (held.empty()) return held.push_back(exchange);
    exchange->Respond(target.Head(exchange->request()));
  });
  HostProcess& stays = fleet.AddHost();
  HostProcess& leaves = fleet.AddHost();
  const auto unanswered = fleet.Send(leaves, "POST", "/unsafe/1");
  REQUIRE(fleet.Until([&] { return held.size() == 1; }));
  const auto waiting = fleet.Send(stays, "POST", "/unsafe/1");
  leaves.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(leaves));
  REQUIRE(fleet.Until([&] { return waiting->ended; }));
  CHECK(waiting->whole);
  CHECK(waiting->response.status == 200);
  CHECK(target.requests().size() == 2);
}

TEST_CASE("an idle kept connection gets bytes at the end of a stop") {
  Fleet fleet;
  fleet.AddTarget("app", 8);
  HostProcess& host = fleet.AddHost();
  Tcp::socket unused = fleet.Connect(host);
  Tcp::socket kept = fleet.Connect(host);
  boost::asio::write(kept, boost::asio::buffer(kKeptRequest));
  std::string first;
  REQUIRE(fleet.Until([&] {
    ReadArrived(kept, first);
    return BodyBytes(first) > 0;
  }));
  CHECK(first.starts_with("HTTP/1.1 200"));
  host.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(host));
  CHECK(host.status() == 0);
  CHECK(ReadRest(unused).empty());
  CHECK(ReadRest(kept).empty());
}

TEST_CASE("an answer that a slow caller reads is cut by a stop") {
  constexpr std::size_t kBytes = 3'000'000;
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 8);
  AnswersAfter(target, milliseconds(0), kBytes);
  HostProcess& host = fleet.AddHost();
  Tcp::socket reads = fleet.Connect(host);
  Tcp::socket waits = fleet.Connect(host);
  boost::asio::write(reads, boost::asio::buffer(kKeptRequest));
  boost::asio::write(waits, boost::asio::buffer(kKeptRequest));
  REQUIRE(fleet.Until(
      [&] { return reads.available() > 0 && waits.available() > 0; }));
  host.Signal(SIGTERM);
  std::string read;
  REQUIRE(fleet.Until([&] {
    ReadArrived(reads, read);
    return BodyBytes(read) >= kBytes;
  }));
  REQUIRE(fleet.UntilGone(host));
  read += ReadRest(reads);
  const std::string late = ReadRest(waits);
  const bool is_whole = BodyBytes(late) >= kBytes;
  const bool has_length =
      late.find("Content-Length: " + std::to_string(kBytes)) !=
      std::string::npos;
  const bool looks_whole =
      is_whole || (!has_length && late.ends_with("0\r\n\r\n"));
  CHECK(looks_whole == is_whole);
}
