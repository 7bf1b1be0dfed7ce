// Complete lists and confirmed writes on top of the platform client, which
// lists by page and may lose the answer to a write.
#include "gateway/object-store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreyflow::gateway {
namespace {

using ClientPtr = std::shared_ptr<PlatformClient>;

/// The name behind which a list continues; empty if no item has a name.
std::string LastName(const std::vector<PlatformObject>& items) {
  const auto last =
      std::find_if(items.rbegin(), items.rend(),
                   [](const auto& item) { return !item.name.empty(); });
  return last == items.rend() ? "" : last->name;
}

/// Adds a page to the list. Returns whether another page follows.
bool AddPage(ListAnswer page, const std::string& from, ListAnswer& list) {
  // The version of the first page is kept: a watch from there also reports the
  // changes made while later pages were listed.
  if (list.items.empty()) list.version = page.version;
  list.error = page.error;
  list.timed_out = page.timed_out;
  if (list.error == Errc::kObjectNotFound) list.error = {};
  // Pages of two eras make no list of either.
  if (!list.error && page.version.era != list.version.era)
    list.error = Errc::kPlatformUnavailable;
  const bool more = page.more && !page.items.empty() && !list.error;
  // Without a later name the same page would be listed again and again.
  const std::string last = LastName(page.items);
  if (more && (last.empty() || last == from)) list.error = Errc::kCodec;
  std::move(page.items.begin(), page.items.end(),
            std::back_inserter(list.items));
  return more && !list.error;
}

/// Requests the next page after the items in `result`, until the list is
/// complete.
void ListRemaining(const ClientPtr& client, const std::string& kind,
                   const std::shared_ptr<ListAnswer>& result,
                   ListHandler handler) {
  ListQuery query;
  query.kind = kind;
  query.from = LastName(result->items);
  client->List(query, [client, kind, result, from = query.from,
                       handler = std::move(handler)](ListAnswer page) mutable {
    if (AddPage(std::move(page), from, *result)) {
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
