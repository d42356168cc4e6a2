// The endpoints of a stand-in for discovery, version by version, and the lists that discovery states them in.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

// An endpoint that discovery knows or will know.
struct StatedEndpoint {
  std::string name;
  std::string address;
  bool is_in_first_list = true;  // else it joins later
};

enum class EndpointStatus { Absent, Active, Leaving, Left };

// Not thread-safe. Endpoints are named by their position among those that the constructor got.
class EndpointHistory {
 public:
  static constexpr int kFirstIndex = 7;  // of the first list

  // padding_bytes: of a field that makes each list longer, as further endpoints would.
  explicit EndpointHistory(std::vector<StatedEndpoint> endpoints, std::size_t padding_bytes = 0)
      : endpoints_(std::move(endpoints)), padding_(padding_bytes, 'x') {
    std::vector<EndpointStatus> first;
    for (const StatedEndpoint& endpoint : endpoints_) {
      first.push_back(endpoint.is_in_first_list ? EndpointStatus::Active : EndpointStatus::Absent);
    }
    versions_.push_back(std::move(first));
  }

  int index() const { return kFirstIndex + int(versions_.size()) - 1; }
  int index_before_last_change() const { return std::max(kFirstIndex, index() - 1); }
  void change(std::size_t endpoint, EndpointStatus status) {
    versions_.push_back(versions_.back());
    versions_.back()[endpoint] = status;
  }
  // The active endpoints of a version as entries, joined by commas.
  std::string entries_at(int index) const { return joined(listed_entries(version(index))); }
  // All endpoints of a version that are active, as one line: a whole list leaves out endpoints that drain.
  std::string whole_list_at(int index) const { return line(index, true, listed_entries(version(index))); }
  // The endpoints whose status differs between two versions, as one line. One that joined and left in between
  // has the same status in both, and isn't named.
  std::string changes_between(int after, int index) const {
    std::vector<std::string> entries;
    append_changes(version(after), version(index), entries);
    return line(index, false, entries);
  }

  // Each change after one index up to another in turn, as one line: an endpoint that changed twice is named
  // twice.
  std::string each_change_between(int after, int index) const {
    std::vector<std::string> entries;
    for (int last = std::max(after, kFirstIndex) + 1; last <= index; ++last) {
      append_changes(version(last - 1), version(last), entries);
    }
    return line(index, false, entries);
  }

 private:
  void append_changes(const std::vector<EndpointStatus>& before, const std::vector<EndpointStatus>& now,
                      std::vector<std::string>& entries) const {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const bool is_listed_in_either = is_listed(before[i]) || is_listed(now[i]);
      if (is_listed_in_either && before[i] != now[i]) entries.push_back(entry(i, now[i]));
    }
  }
  static bool is_listed(EndpointStatus status) {
    return status == EndpointStatus::Active || status == EndpointStatus::Leaving;
  }
  static const char* status_name(EndpointStatus status) {
    if (status == EndpointStatus::Active) return "active";
    return status == EndpointStatus::Leaving ? "leaving" : "left";
  }
  static std::string joined(const std::vector<std::string>& entries) {
    std::string text;
    for (const std::string& entry : entries) text += (text.empty() ? "" : ",") + entry;
    return text;
  }
  std::string line(int index, bool is_snapshot, const std::vector<std::string>& entries) const {
    return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (is_snapshot ? "true" : "false") +
           R"(,"padding":")" + (is_snapshot ? padding_ : "") + R"(","endpoints":[)" + joined(entries) +
           "]}\n";
  }
  // The statuses at an index; those of the first list for an earlier one.
  const std::vector<EndpointStatus>& version(int index) const {
    const int last = int(versions_.size()) - 1;
    return versions_[std::size_t(std::clamp(index - kFirstIndex, 0, last))];
  }
  std::string entry(std::size_t endpoint, EndpointStatus status) const {
    return list_entry_json(endpoints_[endpoint].name, endpoints_[endpoint].address, status_name(status));
  }
  std::vector<std::string> listed_entries(const std::vector<EndpointStatus>& statuses) const {
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      if (statuses[i] == EndpointStatus::Active) entries.push_back(entry(i, statuses[i]));
    }
    return entries;
  }

  const std::vector<StatedEndpoint> endpoints_;
  const std::string padding_;  // of whole lists
  std::vector<std::vector<EndpointStatus>> versions_;
};

}  // namespace puffinvane::test
