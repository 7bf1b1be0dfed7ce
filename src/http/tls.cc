// Loads the server's certificate.
#include "http/tls.h"

#include <utility>

namespace comfreyflow::http {

namespace ssl = boost::asio::ssl;

TlsFiles::TlsFiles(std::string certificate_file, std::string key_file)
    : certificate_file_(std::move(certificate_file)),
      key_file_(std::move(key_file)) {}

std::error_code TlsFiles::ReadStamp(Stamp& out) const {
  std::error_code error;
  out.certificate = std::filesystem::last_write_time(certificate_file_, error);
  if (error) return error;
  out.key = std::filesystem::last_write_time(key_file_, error);
  return error;
}

std::error_code TlsFiles::Reload(bool& changed) {
  changed = false;
  Stamp stamp;
  if (const auto error = ReadStamp(stamp)) return error;
  {
    const std::lock_guard lock(mutex_);
    if (context_ && stamp == stamp_) return {};
  }
  auto next = std::make_shared<ssl::context>(ssl::context::tls_server);
  next->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                    ssl::context::no_tlsv1_1);
  boost::system::error_code error;
  next->use_certificate_chain_file(certificate_file_, error);
  if (!error) {
    next->use_private_key_file(key_file_, ssl::context::pem, error);
  }
  if (error) return error;
  const std::lock_guard lock(mutex_);
  context_ = std::move(next);
  stamp_ = stamp;
  changed = true;
  return {};
}

std::shared_ptr<ssl::context> TlsFiles::context() const {
  const std::lock_guard lock(mutex_);
  return context_;
}

}  // namespace comfreyflow::http
