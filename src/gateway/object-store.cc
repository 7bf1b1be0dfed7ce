// Complete lists and confirmed writes on top of the platform client, which
// lists by page and may lose the answer to a write.
#include "gateway/object-store.h"

#include <iterator>
#include <utility>

namespace comfreyflow::gateway {
namespace {

using ClientPtr = std::shared_ptr<PlatformClient>;

/// Requests the next page after the items in `result`, until the list is
/// complete.
void ListRemaining(const ClientPtr& client, const std::string& kind,
                   const std::shared_ptr<ListAnswer>& result,
                   ListHandler handler) {
  ListQuery query;
  query.kind = kind;
  if (!result->items.empty()) query.from = result->items.back().name;
  client->List(query, [client, kind, result,
                       handler = std::move(handler)](ListAnswer page) mutable {
    // The version of the first page is kept: a watch from there also reports
    // the changes made while later pages were listed.
    if (result->items.empty()) result->version = page.version;
    result->error = page.error;
    result->timed_out = page.timed_out;
    if (result->error == Errc::kObjectNotFound) result->error = {};
    // Pages of two eras make no list of either.
    if (!result->error && page.version.era != result->version.era)
      result->error = Errc::kPlatformUnavailable;
    const bool more = page.more && !page.items.empty();
    std::move(page.items.begin(), page.items.end(),
              std::back_inserter(result->items));
    if (more && !result->error) {
      return ListRemaining(client, kind, result, std::move(handler));
    }
    handler(std::move(*result));
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
    ListRemaining(client, kind, std::make_shared<ListAnswer>(),
                  std::move(handler));
  };
  store.watch = [client](const std::string& kind, const StoreVersion& version,
                         Duration wait, const WatchHandler& handler) {
    client->Watch(kind, version, wait, handler);
  };
  store.create = [client](const std::string& kind, const std::string& name,
                          const std::string& value, WriteHandler handler) {
    Create(client, kind, name, value, std::move(handler));
  };
  store.remove = [client](const std::string& kind, const std::string& name,
                          WriteHandler handler) {
    client->Remove(kind, name, {},
                   [handler = std::move(handler)](const WriteAnswer& answer) {
                     handler(answer.error);
                   });
  };
  return store;
}

}  // namespace comfreyflow::gateway
