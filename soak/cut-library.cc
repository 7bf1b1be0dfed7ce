// Preloaded into a host: refuses its new connections to the ports that stand in
// a file, so that a build as it is loses its way to targets while others don't.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>

namespace {

bool IsCut(const sockaddr* address) {
  const char* path = std::getenv("SOAK_CUT_FILE");
  if (path == nullptr || address->sa_family != AF_INET) return false;
  const int port =
      ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
  std::ifstream file(path);
  int cut = 0;
  while (file >> cut) {
    if (cut == port) return true;
  }
  return false;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  if (!IsCut(address)) return next(socket, address, size);
  errno = ECONNREFUSED;
  return -1;
}
