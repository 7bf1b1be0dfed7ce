// Whole lists and settled writes on the platform's client.
#include "gateway/object-store.h"

#include <iterator>
#include <utility>

namespace comfreyflow::gateway {
namespace {

using ClientPtr = std::shared_ptr<PlatformClient>;

/// Lists on behind what `whole` has.
void ListOn(const ClientPtr& client, const std::string& kind,
            const std::shared_ptr<ListAnswer>& whole, ListHandler handler) {
  ListQuery query;
  query.kind = kind;
  if (!whole->items.empty()) query.from = whole->items.back().name;
  client->List(query, [client, kind, whole,
                       handler = std::move(handler)](ListAnswer page) mutable {
    // Watching on from the first page's version misses nothing.
    if (whole->items.empty()) whole->version = page.version;
    whole->error = page.error;
    whole->timed_out = page.timed_out;
    if (whole->error == Errc::kObjectNotFound) whole->error = {};
    const bool more = page.more && !page.items.empty();
    std::move(page.items.begin(), page.items.end(),
              std::back_inserter(whole->items));
    if (more && !whole->error) {
      return ListOn(client, kind, whole, std::move(handler));
    }
    handler(std::move(*whole));
  });
}

void Create(const ClientPtr& client, const std::string& kind,
            const std::string& name, const std::string& value,
            WriteHandler handler) {
  client->Create(
      kind, name, value,
      [client, kind, name,
       handler = std::move(handler)](const WriteAnswer& answer) mutable {
        if (answer.state != WriteState::kAnswerLost) {
          return handler(answer.error);
        }
        client->Read(kind, name,
                     [handler = std::move(handler)](const ReadAnswer& read) {
                       handler(read.error);
                     });
      });
}

}  // namespace

ObjectStore MakeObjectStore(const std::shared_ptr<PlatformClient>& client) {
  ObjectStore store;
  store.list = [client](const std::string& kind, ListHandler handler) {
    ListOn(client, kind, std::make_shared<ListAnswer>(), std::move(handler));
  };
  store.watch = [client](const std::string& kind, std::uint64_t version,
                         Duration wait, const WatchHandler& handler) {
    client->Watch(kind, version, wait, handler);
  };
  store.create = [client](const std::string& kind, const std::string& name,
                          const std::string& value, WriteHandler handler) {
    Create(client, kind, name, value, std::move(handler));
  };
  store.remove = [client](const std::string& kind, const std::string& name,
                          WriteHandler handler) {
    client->Remove(kind, name, 0,
                   [handler = std::move(handler)](const WriteAnswer& answer) {
                     handler(answer.error);
                   });
  };
  return store;
}

}  // namespace comfreyflow::gateway
