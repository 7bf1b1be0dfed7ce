// The HTTP/1.1 server under every stand-in.
#include "fakes/fake-server.h"

#include <csignal>
#include <cstdio>
#include <future>
#include <sstream>

namespace comfreyflow::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kBodyLimit = 64ULL << 20;  // Bytes.

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

FakeRequest Convert(http::request<http::string_body> in) {
  FakeRequest out;
  out.method = std::string(in.method_string());
  const std::string target(in.target());
  const auto mark = target.find('?');
  out.path = Unescape(target.substr(0, mark));
  if (mark != std::string::npos) {
    std::istringstream query(target.substr(mark + 1));
    for (std::string part; std::getline(query, part, '&');) {
      const auto equal = part.find('=');
      if (equal == std::string::npos) continue;
      out.query[part.substr(0, equal)] = Unescape(part.substr(equal + 1));
    }
  }
  for (const auto& field : in) {
    std::string name(field.name_string());
    for (char& c : name)
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    out.headers[name] = std::string(field.value());
  }
  out.body = std::move(in.body());
  return out;
}

tcp::endpoint Endpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  const auto port = std::stoi(address.substr(colon + 1));
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(port)};
}

}  // namespace

std::uint64_t FakeRequest::QueryNumber(const std::string& name,
                                       std::uint64_t fallback) const {
  const auto found = query.find(name);
  if (found == query.end()) return fallback;
  try {
    return std::stoull(found->second);
  } catch (const std::exception&) {
    return fallback;
  }
}

std::string FakeRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

FakeConnection::FakeConnection(tcp::socket socket, FakeServer& server)
    : stream_(std::move(socket)), server_(&server) {
  stream_.socket().set_option(tcp::no_delay(true));
}

void FakeConnection::Read() {
  parser_ = std::make_unique<http::request_parser<http::string_body>>();
  parser_->body_limit(kBodyLimit);
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (error) return self->Break();
                     if (self->open_ && !self->muted_) self->TakeRequest();
                   });
}

void FakeConnection::TakeRequest() {
  try {
    request_ = Convert(parser_->release());
    server_->handler_(shared_from_this());
  } catch (const std::exception& fault) {  // JSON of a wrong type or shape.
    Reply(400, {{"error",
                 {{"code", "malformed_request"},
                  {"ran", false},
                  {"detail", fault.what()}}}});
  }
}

void FakeConnection::Reply(int status, const Json& body,
                           const Headers& headers) {
  http::response<http::string_body> answer(static_cast<http::status>(status),
                                           11);
  for (const auto& [name, value] : headers) answer.set(name, value);
  answer.set(http::field::content_type, "application/json");
  answer.body() = body.dump();
  answer.prepare_payload();
  std::ostringstream text;
  text << answer;
  Write(text.str(), true);
}

void FakeConnection::StartStream() {
  Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      false);
}

void FakeConnection::Send(const std::string& data) {
  std::ostringstream chunk;
  chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
  Write(chunk.str(), false);
}

void FakeConnection::EndStream() { Write("0\r\n\r\n", true); }

void FakeConnection::Break() {
  if (!open_) return;
  open_ = false;
  error_code ignored;
  stream_.socket().close(ignored);
  server_->connections_.erase(shared_from_this());
}

void FakeConnection::Write(std::string data, bool last) {
  if (!open_ || muted_) return;
  last_queued_ = last;
  out_.push_back(std::move(data));
  if (out_.size() == 1) Flush();
}

void FakeConnection::Flush() {
  asio::async_write(stream_, asio::buffer(out_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) return self->Break();
                      self->out_.pop_front();
                      if (!self->open_ || self->muted_) return;
                      if (!self->out_.empty()) return self->Flush();
                      if (!self->last_queued_) return;
                      self->last_queued_ = false;
                      self->Read();
                    });
}

FakeServer::FakeServer(std::uint16_t port) : port_(port) { Listen(); }

FakeServer::~FakeServer() { Stop(); }

void FakeServer::Listen() {
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  // Read on other threads once the server has started.
  if (port_ == 0) port_ = acceptor_.local_endpoint().port();
}

void FakeServer::Start(Handler handler) {
  handler_ = std::move(handler);
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

void FakeServer::Stop() {
  if (!thread_.joinable()) return;
  asio::post(context_, [this] {
    BreakAll();
    context_.stop();
  });
  thread_.join();
}

std::string FakeServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void FakeServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error) {
      const auto connection =
          std::make_shared<FakeConnection>(std::move(socket), *this);
      connections_.insert(connection);
      connection->Read();
    }
    Accept();
  });
}

void FakeServer::RunAndWait(const std::function<void()>& work) {
  std::promise<void> done;
  asio::post(context_, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void FakeServer::BreakAll(const CallPtr& kept) {
  const auto all = connections_;
  for (const auto& connection : all) {
    if (connection != kept) connection->Break();
  }
}

void FakeServer::MuteAll(const CallPtr& kept) {
  for (const auto& connection : connections_) {
    if (connection != kept) connection->Mute();
  }
}

void FakeServer::GoDown(std::chrono::steady_clock::duration time) {
  BreakAll();
  error_code ignored;
  acceptor_.close(ignored);
  down_.expires_after(time);
  down_.async_wait([this](error_code error) {
    if (error || acceptor_.is_open()) return;
    Listen();
    Accept();
  });
}

void SendAndForget(asio::io_context& context, const std::string& address,
                   const std::string& method, const std::string& path) {
  auto stream = std::make_shared<beast::tcp_stream>(context);
  auto request = std::make_shared<http::request<http::empty_body>>(
      http::string_to_verb(method), path, 11);
  request->set(http::field::host, address);
  request->set(http::field::content_length, "0");
  request->keep_alive(false);
  stream->expires_after(std::chrono::seconds(5));
  stream->async_connect(Endpoint(address), [stream, request](error_code error) {
    if (error) return;
    http::async_write(*stream, *request,
                      [stream, request](error_code, std::size_t) {});
  });
}

FetchAnswer Fetch(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& body,
                  const Headers& headers) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  error_code error;
  stream.connect(Endpoint(address), error);
  if (error) return {};
  http::request<http::string_body> request(http::string_to_verb(method), path,
                                           11, body);
  request.set(http::field::host, address);
  for (const auto& [name, value] : headers) request.set(name, value);
  request.keep_alive(false);
  request.prepare_payload();
  http::write(stream, request, error);
  if (error) return {};
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimit);
  http::read(stream, buffer, parser, error);
  if (error) return {};
  return {static_cast<int>(parser.get().result_int()), parser.get().body()};
}

void ServeUntilSignal(const std::string& name, const std::string& address) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::printf("%s listens on %s\n", name.c_str(), address.c_str());
  std::fflush(stdout);
  int caught = 0;
  sigwait(&signals, &caught);
}

}  // namespace comfreyflow::fakes
