/// Chooses the hosts of a large fleet that read the store. The others learn of
/// changes from their peers, so that the number of calls to the store does not
/// grow with the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Whether a host follows the store by itself.
enum class StoreRole : std::uint8_t {
  kOneOfAll,  ///< The fleet is small: all hosts read the store.
  kReader,    ///< One of the few hosts of a large fleet that read it.
  kPassive,   ///< Learns of changes from peers and checks the store rarely.
};

const char* ToString(StoreRole role);

/// In fleets of up to this size all hosts read the store.
inline constexpr std::size_t kMaxFleetOfReaders = 48;
/// Hosts of a larger fleet that read the store. With so many some are left when
/// more than half of the fleet ends at once.
inline constexpr std::size_t kStoreReaders = 9;

/// A host that has not heard of any other reader for this long reads the store
/// itself: the readers ended at once, or this host is cut off from them. News
/// of some reader normally arrives several times within this time.
inline constexpr Duration kReaderSilence = std::chrono::milliseconds(1800);

/// A live host that no peer suspects to have ended.
struct ReaderCandidate {
  HostName name;
  FailureDomain domain;
  std::uint32_t capacity = 100;  ///< In hundredths of a CPU core.
  bool holds_placer = false;
  /// The host can't reach the store. Such a host goes on trying, and another
  /// one reads the store in its place.
  bool is_detached = false;
};

/// Returns the hosts that read the store: those that hold a placer, and of the
/// others as many as have `kStoreReaders` attached hosts among them. Hosts of
/// more capacity come first; among equals the failure domains take turns.
/// Returns all hosts of a small fleet.
std::set<HostName> ChooseStoreReaders(
    const std::vector<ReaderCandidate>& hosts);

/// Decides from the membership whether this host reads the store. Each host
/// decides on its own; views that differ for a while cause some more or fewer
/// readers, but a host that is unsure reads.
class StoreReaderChoice {
 public:
  struct Self {
    HostName name;
    bool holds_placer = false;
    bool is_detached = false;  ///< This host can't reach the store.
  };

  /// To be called several times per second. Returns whether the role changed.
  bool Update(const std::map<HostName, Member>& members, const Self& self,
              Time now);

  StoreRole role() const { return role_; }
  /// Whether the host reads the store, as far as this host knows.
  bool Reads(const HostName& host) const {
    return role_ == StoreRole::kOneOfAll || readers_.contains(host);
  }
  const std::set<HostName>& readers() const { return readers_; }
  /// The readers whose life other hosts depend on; empty in a small fleet.
  std::set<HostName> attached_readers() const {
    return role_ == StoreRole::kOneOfAll ? std::set<HostName>{} : attached_;
  }
  std::size_t hosts() const { return hosts_; }

 private:
  /// Whether a reader that reaches the store was seen alive recently.
  bool HearsFromReader(const std::map<HostName, Member>& members,
                       const HostName& self, Time now) const;

  StoreRole role_ = StoreRole::kOneOfAll;
  std::set<HostName> readers_;
  std::set<HostName> attached_;  ///< Readers that reach the store.
  std::size_t hosts_ = 0;        ///< Candidates of the last choice.
};

}  // namespace comfreyflow
