#include "src/discovery/list_cursor.h"

#include <algorithm>
#include <utility>

namespace puffinvane {

namespace {

// Pushed mode: there is no evidence that discovery has sent all changes, so the full list is requested
// periodically, and sooner after an unanswered call. The byte rates limit the cost of long lists: the
// interval grows with the length of the list.
constexpr double kReconcileIntervalSeconds = 30;
constexpr double kReconcileBytesPerSecond = 10e3;
constexpr double kUnansweredReconcileBytesPerSecond = 20e3;

// Some 400 endpoints. Lists that repeat themselves are only hashed.
constexpr std::size_t kMaxCheapListBytes = std::size_t{64} * 1024;

// Pushed mode: so many lists in a row that are older than the held one show that discovery has lost its data.
// Fewer may come from a call that was answered late.
constexpr int kOlderListsUntilAccepted = 3;

}  // namespace

std::int64_t ListCursor::begin_call(double now) {
  // While calls for the whole list bring none, every other call is a watch, so that changes are still
  // received.
  bool has_call_failed = !has_received_line_ || lacks_whole_list_;
  bool is_watch_due = !is_watch() && has_call_failed && complete_index_;
  bool asks_for_all = is_full_list_due(now) && !is_watch_due;
  has_received_line_ = false;
  if (asks_for_all) {
    call_scope_ = CallScope::FullList;
    call_form_ = next_list_form_;
    return 0;
  }
  call_scope_ = CallScope::Changes;
  return mode_ == DiscoveryMode::Pushed ? complete_index_.value_or(0) : held_index();
}

CallOutcome ListCursor::on_line(std::string_view line, double now) {
  bool is_first_line = !has_received_line_;
  has_received_line_ = true;
  bool is_changes_answer = is_first_line && call_scope_ == CallScope::Changes;
  if (matches_last_full_list(line)) {
    if (is_changes_answer) is_answered_by_full_lists_ = true;
    record_full_list(line, now);
    complete_index_ = held_index_;
    older_lists_in_a_row_ = 0;
    return ListUnchanged();
  }
  ListResult result = parser_.parse(line);
  if (!result) return result.error();
  EndpointList& list = result.value();
  if (std::optional<ListError> error = check_sequence(list)) return std::move(*error);

  if (is_changes_answer) is_answered_by_full_lists_ = list.is_snapshot;

  bool answers_call_for_all = is_first_line && call_scope_ == CallScope::FullList;
  if (is_full_list(list, answers_call_for_all)) {
    record_full_list(line, now);
  } else {
    if (answers_call_for_all) request_whole_list();
    if (!list.entries.empty()) full_list_hash_.reset();
  }
  // The first line of a call has all changes after the index that was asked for. Later lines are applied, but
  // may be incomplete: in pushed mode the next call asks for their changes again.
  if (list.is_snapshot || is_first_line) complete_index_ = list.index;
  held_index_ = list.index;
  newest_index_ = list.index;
  return CallOutcome(std::move(list));
}

void ListCursor::on_source_changed() {
  is_source_new_ = true;
  newest_index_.reset();
  complete_index_.reset();
  full_list_hash_.reset();
}

void ListCursor::reset() {
  held_index_.reset();
  complete_index_.reset();
  full_list_hash_.reset();
}

bool ListCursor::is_call_cheap() const { return is_answer_cheap(call_scope_); }

bool ListCursor::is_next_call_cheap() const {
  return is_answer_cheap(complete_index_ ? CallScope::Changes : CallScope::FullList);
}

bool ListCursor::is_answer_cheap(CallScope scope) const {
  bool gets_changes = scope == CallScope::Changes && !is_answered_by_full_lists_;
  return gets_changes || full_list_bytes_ <= kMaxCheapListBytes;
}

bool ListCursor::is_full_list_due(double now) const {
  if (lacks_whole_list_) return true;
  if (mode_ == DiscoveryMode::OnRequest) return !holds_list();
  if (!complete_index_) return true;
  auto bytes = double(full_list_bytes_);
  double interval_s = has_unanswered_call_
                          ? bytes / kUnansweredReconcileBytesPerSecond
                          : std::max(kReconcileIntervalSeconds, bytes / kReconcileBytesPerSecond);
  return now >= full_list_at_ + interval_s;
}

// Changes after index 0 tell all endpoints only to a process that holds the list with that index.
bool ListCursor::is_full_list(const EndpointList& list, bool answers_call_for_all) const {
  bool holds_first_list = held_index_ == 0 && !is_source_new_;
  return list.is_snapshot || (answers_call_for_all && holds_first_list);
}

void ListCursor::request_whole_list() {
  lacks_whole_list_ = true;
  next_list_form_ = FullListForm::WholeList;
}

// Comparing hashes avoids parsing if discovery answers every call with the full list.
bool ListCursor::matches_last_full_list(std::string_view line) const {
  if (mode_ == DiscoveryMode::OnRequest || !full_list_hash_) return false;
  if (line.size() != full_list_bytes_) return false;
  return XXH3_64bits(line.data(), line.size()) == *full_list_hash_;
}

// An empty snapshot may mean that discovery has lost its data and doesn't know which endpoints exist. It is
// accepted only if it is the second one in a row.
std::optional<ListError> ListCursor::check_sequence(const EndpointList& list) {
  if (std::optional<ListError> error = check_index(list)) return error;
  if (!list.is_snapshot) return std::nullopt;
  bool was_empty = was_last_snapshot_empty_;
  was_last_snapshot_empty_ = list.entries.empty();
  if (was_last_snapshot_empty_ && !was_empty) return ListError{ListFault::EmptySnapshot, ""};
  return std::nullopt;
}

// An older list would list endpoints again that have left since.
std::optional<ListError> ListCursor::check_index(const EndpointList& list) {
  bool is_older = list.index < newest_index_.value_or(list.index);
  // Changes apply to the list that is held, whichever source it is from.
  if (!list.is_snapshot) is_older |= list.index < held_index();
  older_lists_in_a_row_ = is_older ? older_lists_in_a_row_ + 1 : 0;
  if (!is_older) return std::nullopt;
  // On request a further full list is expensive.
  bool is_accepted = mode_ == DiscoveryMode::OnRequest ? list.is_snapshot || !holds_list()
                                                       : older_lists_in_a_row_ >= kOlderListsUntilAccepted;
  if (!is_accepted) return ListError{ListFault::IndexWentBack, ""};
  older_lists_in_a_row_ = 0;
  return std::nullopt;
}

void ListCursor::record_full_list(std::string_view text, double now) {
  full_list_at_ = now;
  full_list_bytes_ = text.size();
  full_list_hash_ = XXH3_64bits(text.data(), text.size());
  has_unanswered_call_ = false;
  lacks_whole_list_ = false;
  is_source_new_ = false;
}

}  // namespace puffinvane
