// The endpoints of a pool as discovery lists them, with their addresses, operators' exclusions and this
// instance's shares. Uses no connections or timers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "puffinvane/policy.h"
#include "src/discovery/discovery.h"
#include "src/net/log.h"
#include "src/proxy/endpoint_addresses.h"

namespace puffinvane {

// Applies each list to what is known already and reports what that changes. Owned by a RequestForwarder, on
// the event loop's thread. Times are monotonic, in seconds.
class EndpointDirectory {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The endpoint drains, was removed or excluded, or has another address: the connections to it are of no
    // use from now on.
    virtual void on_endpoint_unusable(const std::string& endpoint) = 0;
    // Entries to use from now on, with exclusions and shares applied. Cached and Full: no other endpoint
    // exists.
    virtual void on_entries_changed(ListScope scope, std::span<const ListEntry> entries) = 0;
  };

  // The log and the owner must outlive the directory.
  EndpointDirectory(Log& log, Owner& owner) : log_(log), owner_(owner) {}

  // Uses a list that was kept from earlier, until discovery answers.
  void load_cached(const EndpointList& cached);
  // A list of discovery: a snapshot, or the entries that changed.
  void on_list(const EndpointList& list, double now);
  // Sends the endpoint no more attempts, whatever discovery lists, until it is included.
  void exclude(std::string_view endpoint);
  // Unless the endpoint is listed as started since `excluded_at_s`, it is taken to start now.
  void include(std::string_view endpoint, double excluded_at_s, double now);
  // This instance's share of each endpoint, which is used as its weight.
  void set_shares(std::map<std::string, double, std::less<>> shares);

  EndpointList snapshot() const;  // the endpoints listed now
  std::size_t size() const { return listed_.size(); }
  std::int64_t index() const { return index_; }  // of the list in force
  // When discovery last sent a list; 0: not since the start.
  double confirmed_at_s() const { return confirmed_at_s_; }
  std::size_t unavailable_count() const;        // listed, but draining or excluded
  bool knows(std::string_view endpoint) const;  // it is listed or was so recently
  // Null if the endpoint has none, or another endpoint holds it.
  const std::string* address_of(const std::string& endpoint) const { return addresses_.find(endpoint); }

 private:
  struct ListedEndpoint : ListEntry {
    std::string address;
  };

  void apply(const EndpointList& list, ListScope scope);
  EndpointList changes_in(const EndpointList& list) const;
  void add_missing_as_removed(const EndpointList& snapshot, EndpointList& changes) const;
  double latest_start(const ListEntry& entry) const;
  bool is_unchanged(const ListEntry& entry, const std::string& address) const;
  void update_listed(const ListEntry& entry, const std::string& address);
  void remove_listed(const std::string& endpoint);
  void claim_address(const ListedEndpoint& listed);
  void set_address(const ListedEndpoint& listed);
  void retry_missing_addresses();
  void notify(const ListEntry& entry);
  ListEntry as_notified(ListEntry entry) const;

  Log& log_;
  Owner& owner_;
  EndpointAddresses addresses_;
  std::map<std::string, ListedEndpoint, std::less<>> listed_;  // as discovery lists them
  std::set<std::string> without_address_;  // listed, but with no address or with one that another one holds
  std::set<std::string, std::less<>> excluded_;  // by operators
  // This instance's share of each endpoint. Empty: the policy works it out from the deployment's instance
  // index and count.
  std::map<std::string, double, std::less<>> shares_;
  std::deque<std::string> recently_removed_;  // endpoints that are no longer listed
  std::int64_t index_ = 0;
  double confirmed_at_s_ = 0;
};

}  // namespace puffinvane
