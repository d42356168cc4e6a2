#include "src/proxy/endpoint_directory.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "src/proxy/forwarder_events.h"

namespace puffinvane {

namespace {

// Weight of an endpoint that is not in this instance's share: so little that it gets attempts only once its
// own endpoints have no capacity left.
constexpr double kWeightOutsideShare = 1e-6;
constexpr std::size_t kMaxRecentlyRemoved = 4096;  // endpoints remembered although no longer listed

ListChangeCounts count_changes(const std::vector<ListEntry>& entries) {
  ListChangeCounts counts;
  for (const ListEntry& entry : entries) {
    switch (entry.state) {
      case ListedState::Ready: ++counts.ready; break;
      case ListedState::Draining: ++counts.draining; break;
      case ListedState::Removed: ++counts.removed; break;
    }
  }
  return counts;
}

// The positions of the entries that no later entry of the same endpoint replaces, in order: a list may tell
// each change in turn.
std::vector<std::size_t> last_entries(const EndpointList& list) {
  std::vector<std::size_t> positions;
  std::unordered_set<std::string_view> seen;
  for (std::size_t i = list.entries.size(); i > 0; --i) {
    if (seen.insert(list.entries[i - 1].endpoint).second) positions.push_back(i - 1);
  }
  std::ranges::reverse(positions);
  return positions;
}

}  // namespace

void EndpointDirectory::load_cached(const EndpointList& cached) { apply(cached, ListScope::Cached); }

void EndpointDirectory::on_list(const EndpointList& list, double now) {
  confirmed_at_s_ = now;
  if (listed_.empty()) return apply(list, list.is_snapshot ? ListScope::Full : ListScope::Changes);
  EndpointList changes = changes_in(list);
  index_ = list.index;
  if (!changes.entries.empty()) apply(changes, ListScope::Changes);
}

// A start time never goes back. include_endpoint sets it to begin a slow start, which discovery doesn't know
// of when it lists the endpoint again.
double EndpointDirectory::latest_start(const ListEntry& entry) const {
  auto known = listed_.find(entry.endpoint);
  return known == listed_.end() ? entry.online_since_s
                                : std::max(entry.online_since_s, known->second.online_since_s);
}

bool EndpointDirectory::is_unchanged(const ListEntry& entry, const std::string& address) const {
  auto known = listed_.find(entry.endpoint);
  if (known == listed_.end()) return entry.state == ListedState::Removed;
  return known->second == entry && (address.empty() || known->second.address == address);
}

// The entries of `list` that change what is known, as lists repeat themselves and the owner works through
// each entry that it is notified of.
EndpointList EndpointDirectory::changes_in(const EndpointList& list) const {
  EndpointList changes;
  changes.index = list.index;
  for (std::size_t i : last_entries(list)) {
    ListEntry entry = list.entries[i];
    entry.online_since_s = latest_start(entry);
    if (is_unchanged(entry, list.addresses[i])) continue;
    changes.entries.push_back(std::move(entry));
    changes.addresses.push_back(list.addresses[i]);
  }
  if (list.is_snapshot) add_missing_as_removed(list, changes);
  return changes;
}

// An endpoint that a snapshot leaves out was removed.
void EndpointDirectory::add_missing_as_removed(const EndpointList& snapshot, EndpointList& changes) const {
  std::unordered_set<std::string_view> present;
  for (const ListEntry& entry : snapshot.entries) present.insert(entry.endpoint);
  for (const auto& [name, listed] : listed_) {
    if (present.contains(name)) continue;
    changes.entries.push_back(listed);
    changes.entries.back().state = ListedState::Removed;
    changes.addresses.emplace_back();
  }
}

EndpointList EndpointDirectory::snapshot() const {
  EndpointList list;
  list.index = index_;
  list.is_snapshot = true;
  for (const auto& [name, listed] : listed_) {
    list.entries.push_back(listed);
    list.addresses.push_back(listed.address);
  }
  return list;
}

std::size_t EndpointDirectory::unavailable_count() const {
  auto is_unavailable = [this](const auto& one) {
    return one.second.state != ListedState::Ready || excluded_.contains(one.first);
  };
  return std::size_t(std::count_if(listed_.begin(), listed_.end(), is_unavailable));
}

bool EndpointDirectory::knows(std::string_view endpoint) const {
  return listed_.contains(endpoint) ||
         std::ranges::find(recently_removed_, endpoint) != recently_removed_.end();
}

void EndpointDirectory::exclude(std::string_view endpoint) {
  std::string name(endpoint);
  excluded_.insert(name);
  owner_.on_endpoint_unusable(name);
  if (auto found = listed_.find(endpoint); found != listed_.end()) notify(found->second);
}

void EndpointDirectory::include(std::string_view endpoint, double excluded_at_s, double now) {
  excluded_.erase(std::string(endpoint));
  auto found = listed_.find(endpoint);
  if (found == listed_.end()) return;
  // Endpoints are usually excluded to be restarted. If the list reports no start since, one is assumed now:
  // a slow start (rule 4) costs a warm endpoint a few seconds of little load, but full load would overload
  // one that has just started.
  ListEntry& entry = found->second;
  if (entry.online_since_s < excluded_at_s) entry.online_since_s = now;
  notify(entry);
}

void EndpointDirectory::set_shares(std::map<std::string, double, std::less<>> shares) {
  shares_ = std::move(shares);
  std::vector<ListEntry> entries;
  for (const auto& [name, listed] : listed_) entries.push_back(as_notified(listed));
  owner_.on_entries_changed(ListScope::Changes, entries);
}

// The entry as the owner is notified of it: with operator overrides and this instance's share applied.
ListEntry EndpointDirectory::as_notified(ListEntry entry) const {
  if (excluded_.contains(entry.endpoint) && entry.state == ListedState::Ready)
    entry.state = ListedState::Draining;
  if (shares_.empty()) return entry;
  // Endpoints that belong to other instances stay usable, for when all of this instance's own are down.
  auto share = shares_.find(entry.endpoint);
  entry.weight = share == shares_.end() ? kWeightOutsideShare : std::max(kWeightOutsideShare, share->second);
  return entry;
}

void EndpointDirectory::notify(const ListEntry& entry) {
  ListEntry notified = as_notified(entry);
  owner_.on_entries_changed(ListScope::Changes, {&notified, 1});
}

void EndpointDirectory::update_listed(const ListEntry& entry, const std::string& address) {
  if (entry.state == ListedState::Removed) return remove_listed(entry.endpoint);
  auto& listed = listed_[entry.endpoint];
  static_cast<ListEntry&>(listed) = entry;
  if (!address.empty()) listed.address = address;
}

// Gives a Ready endpoint its listed address, unless the present holder has the better claim. For a while two
// endpoints may be listed at one address, the former one being about to leave or not yet known to be gone.
// Only one can listen there: the one that is Ready, and among Ready ones the one that started last. Lists
// repeat themselves, and the address must not change hands each time.
void EndpointDirectory::claim_address(const ListedEndpoint& listed) {
  if (listed.state != ListedState::Ready || listed.address.empty()) return;
  if (const std::string* holder = addresses_.endpoint_at(listed.address);
      holder && *holder != listed.endpoint) {
    auto found = listed_.find(*holder);
    bool holder_ready = found != listed_.end() && found->second.state == ListedState::Ready;
    if (holder_ready && found->second.online_since_s > listed.online_since_s) return;
  }
  for (const std::string& stale : addresses_.assign(listed.endpoint, listed.address)) {
    owner_.on_endpoint_unusable(stale);
    if (listed_.contains(stale)) without_address_.insert(stale);
  }
  without_address_.erase(listed.endpoint);
}

void EndpointDirectory::set_address(const ListedEndpoint& listed) {
  claim_address(listed);
  if (!addresses_.find(listed.endpoint)) without_address_.insert(listed.endpoint);
}

// The holder of an address that one of them is listed with may have left just now.
void EndpointDirectory::retry_missing_addresses() {
  for (const std::string& name : std::set<std::string>(without_address_)) claim_address(listed_.at(name));
}

void EndpointDirectory::remove_listed(const std::string& endpoint) {
  without_address_.erase(endpoint);
  if (listed_.erase(endpoint) == 0) return;
  if (std::find(recently_removed_.begin(), recently_removed_.end(), endpoint) == recently_removed_.end()) {
    recently_removed_.push_back(endpoint);
  }
  if (recently_removed_.size() > kMaxRecentlyRemoved) recently_removed_.pop_front();
}

void EndpointDirectory::apply(const EndpointList& list, ListScope scope) {
  std::set<std::string> present;
  index_ = list.index;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    present.insert(entry.endpoint);
    log_entry_applied(log_, list.index, entry);
    update_listed(entry, list.addresses[i]);
    if (entry.state != ListedState::Ready) owner_.on_endpoint_unusable(entry.endpoint);
    if (entry.state == ListedState::Removed) addresses_.erase(entry.endpoint);
    else set_address(listed_.at(entry.endpoint));
  }
  if (list.is_snapshot) {  // an endpoint that a snapshot leaves out was removed
    for (const std::string& removed : addresses_.not_listed_in(present)) {
      owner_.on_endpoint_unusable(removed);
      addresses_.erase(removed);
      remove_listed(removed);
    }
  }
  retry_missing_addresses();
  log_list_applied(log_, list.index, count_changes(list.entries), listed_.size());
  std::vector<ListEntry> entries = list.entries;
  for (ListEntry& entry : entries) entry = as_notified(std::move(entry));
  owner_.on_entries_changed(scope, entries);
}

}  // namespace puffinvane
