#include "src/discovery/discovery_watch.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace puffinvane {

namespace {
// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls
// between. Each with the look that follows, in the worst order that there is one of each:
// Free: what changed is asked for anew all the time: kRenew after a call, or kRenewWhole after a whole list
// has come. A call for changes may have nothing to say, so its head is the answer, and a head with nothing
// behind it stands as long as a watch. With a connection that never comes up, such a head, a call that comes
// up and says nothing and another connection that never comes up a change is heard after
// 2.05 + 0.45 + 1.65 + 0.85 + 0.45 = 5.45 s. Only a list answers a call for the whole list.
constexpr double kRenew = 1.6, kRenewWhole = 2, kConnect = 0.4, kFirstList = 0.8, kLook = 0.05, kRest = 0.15;
// Nothing says that a discovery which tells changes has told all of them. The whole list is compared now and
// then, and sooner after calls that were not answered: a discovery that was down may count anew. Seconds and
// bytes a second: at any length of a list no more is spent on that.
constexpr double kReconcile = 30, kReconcileRate = 10e3, kReconcileRateAfterSilence = 20e3;
// Priced: an empty line comes every 2 s, also as the first, where nothing changed, and a call waits 2 s for
// its turn at most. With a connection that never comes up and a call that says nothing after the watch that
// fell silent: 2.45 + 0.45 + 2.25 + 0.5 = 5.65 s. A connection that did not come up has cost nobody anything:
// only calls rest.
constexpr double kSilence = 2.4, kFirstLine = 2.2;
// A list that was still coming when its time was over would be cut there each time: it has twice as long the
// next time, and as long again as it took from then on. Beyond that nothing is taken for a list.
constexpr double kSlowestList = 4;
// One discovery answers all, in turn, and a call that it refuses is work as well: asked again at once by
// everybody, as when all watches are reset, it refuses for ever. Each call that fails doubles the rest, drawn
// so that they do not come together again. A change is heard 6 s after the watch broke though three calls
// were refused: 0.5 + 1 + 1.4 s of rests at their longest, and 2 s in which the last call has its turn.
constexpr double kFirstRest = 0.4, kLongestRest = 1.1, kSpread = 0.25;
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kStood = 2;  // for so long a watch has to stand before its end is no failure of the call
constexpr double kBrokenOff = 0.5;  // a list that stops amid its lines is one that can't be read
constexpr std::size_t kMostAtOnce = 8 << 20;
}  // namespace

const Transition<DiscoveryWatch, DiscoveryWatch::State, DiscoveryWatch::Input> DiscoveryWatch::kRows[] = {
    {State::BackingOff, Input::BackedOff, State::Connecting, &DiscoveryWatch::open},
    {State::BackingOff, Input::Moved, State::Connecting, &DiscoveryWatch::open},
    {State::Connecting, Input::Moved, State::Connecting, &DiscoveryWatch::open},
    {State::Asked, Input::Moved, State::Connecting, &DiscoveryWatch::open},
    {State::Listening, Input::Moved, State::Connecting, &DiscoveryWatch::open},
    {State::Connecting, Input::Connected, State::Asked, &DiscoveryWatch::ask},
    {State::Connecting, Input::Overdue, State::Connecting, &DiscoveryWatch::open},
    {State::Connecting, Input::Ended, State::BackingOff, &DiscoveryWatch::rest_unanswered},
    {State::Asked, Input::Heard, State::Listening, &DiscoveryWatch::listen},
    {State::Asked, Input::Overdue, State::BackingOff, &DiscoveryWatch::back_off_and_allow_longer},
    {State::Asked, Input::Ended, State::BackingOff, &DiscoveryWatch::rest_unanswered},
    {State::Asked, Input::Nonsense, State::BackingOff, &DiscoveryWatch::back_off_and_forget},
    {State::Listening, Input::Overdue, State::Connecting, &DiscoveryWatch::renew},
    {State::Listening, Input::Ended, State::BackingOff, &DiscoveryWatch::back_off},
    {State::Listening, Input::Nonsense, State::BackingOff, &DiscoveryWatch::back_off_and_forget},
};

DiscoveryWatch::DiscoveryWatch(Loop& loop, Owner& owner, std::string address, EndpointStarts& starts,
                               std::int64_t known, Asking asking, std::uint64_t seed)
    : loop_(loop),
      owner_(owner),
      address_(std::move(address)),
      starts_(starts),
      index_(known),
      asking_(asking),
      chance_(seed),
      tcp_(loop, *this),
      reader_(HttpReader::Side::Answer, loop.pool(), kMostAtOnce) {
  look();
}

double DiscoveryWatch::first() const { return asking_ == Asking::Free ? kFirstList : kFirstLine; }

void DiscoveryWatch::turn(Input input) { apply_transition(kRows, *this, state_, input); }

double DiscoveryWatch::limit() const {
  if (state_ == State::Connecting) return kConnect;
  // A priced call waits for its turn, which says nothing of how long a list takes.
  if (state_ == State::Asked)
    return (asking_ == Asking::Free && whole_call_) || lines_.has_partial_list()
               ? std::max(first(), read_timeout_)
               : first();
  if (asking_ == Asking::Priced) return kSilence;
  double renewed = whole_call_ || whole_at_ >= since_ ? kRenewWhole : kRenew;
  return lines_.has_partial_list() ? std::max(renewed, read_timeout_) : renewed;
}

// What a list is still coming for when its time is over has longer the next time.
void DiscoveryWatch::renew() {
  // It was asked what had changed by then, and its answer began and told nothing.
  bool nothing = asking_ == Asking::Free && !whole_call_ && !answered_ && !lines_.has_partial_list();
  if (nothing) starts_.on_unchanged(since_);
  if (asking_ == Asking::Free && lines_.has_partial_list()) bear_more(kRenew);
  open();
}

void DiscoveryWatch::bear_more(double at_least) {
  read_timeout_ = std::min(kSlowestList, 2 * std::max(at_least, read_timeout_));
}

bool DiscoveryWatch::wants_whole() const {
  if (asking_ == Asking::Priced) return index_ == 0;
  if (confirmed_ == 0) return true;
  double bytes = double(whole_bytes_);
  double wait =
      unanswered_ ? bytes / kReconcileRateAfterSilence : std::max(kReconcile, bytes / kReconcileRate);
  return loop_.now() >= whole_at_ + wait;
}

void DiscoveryWatch::open() {
  state_ = State::Connecting;
  heard();
  tcp_.close();
  reader_.take(), lines_ = ListSplitter();
  date_offset_.reset();
  if (tcp_.connect(address_) != TcpConnection::ConnectStart::Begun) turn(Input::Ended);
}

void DiscoveryWatch::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  starts_.on_source_changed();
  confirmed_ = 0;  // another discovery may count its changes otherwise
  held_.reset();
  turn(Input::Moved);
}

void DiscoveryWatch::ask() {
  heard();
  whole_call_ = wants_whole(), answered_ = false;
  std::int64_t after = whole_call_ ? 0 : asking_ == Asking::Free ? confirmed_ : index_;
  BufferChain out(loop_.pool());
  out.add("GET /v1/servers?watch=1&after=" + std::to_string(after) + " HTTP/1.1\r\nHost: " + address_ +
          "\r\n\r\n");
  tcp_.send(std::move(out));
}

void DiscoveryWatch::back_off() {
  tcp_.close();
  double now = loop_.now();
  if (now - std::exchange(listening_since_, kNever) > kStood) failed_ = 0;
  backs_off_until_ = now + pause();
  loop_.at(backs_off_until_, alive_.guard([this, until = backs_off_until_] {
    if (until == backs_off_until_)
      turn(Input::BackedOff);  // else that rest was cut short, and this is another
  }));
}

double DiscoveryWatch::pause() {
  if (asking_ == Asking::Free) return kRest;
  double longest = std::min(kLongestRest, std::ldexp(kFirstRest, std::min(failed_++, 8)));
  return longest * (1 - kSpread + 2 * kSpread * std::ldexp(double(chance_()), -32));
}

void DiscoveryWatch::back_off_and_allow_longer() {
  if (lines_.has_partial_list()) bear_more(first());
  else unanswered_ = true;
  // An agent that was silent tells what it has the moment that it can, to whom it finds there, and that
  // counts at once: there is little more than a drain's grace to lose.
  asking_ == Asking::Free ? turn(Input::BackedOff) : back_off();
}

void DiscoveryWatch::listen() {
  listening_since_ = loop_.now();
  if (asking_ == Asking::Free && !whole_call_) return;  // it is renewed so long after it was asked
  read_timeout_ = std::min(kSlowestList, 2 * (loop_.now() - since_));
  heard();
}

void DiscoveryWatch::rest_unanswered() {
  unanswered_ = true;
  back_off();
}

void DiscoveryWatch::back_off_and_forget() {
  // The whole list, as a line that could not be read may have changed anything.
  index_ = confirmed_ = 0;
  held_.reset();
  back_off();
}

// Late itself, it comes after what the sockets have for it: a stall of ours is nobody's silence.
void DiscoveryWatch::look() {
  if (loop_.now() - since_ > limit()) turn(Input::Overdue);
  loop_.at(loop_.now() + kLook, alive_.guard([this] { look(); }));
}

void DiscoveryWatch::not_understood(const char* why) {
  // Once in a row: what can't be read is asked for again and again.
  if (!std::exchange(complained_, true))
    loop_.log().warning() << "discovery was not understood, and is asked for the whole list: " << why;
  turn(Input::Nonsense);
}

// What the whole list was when it was had last, and nothing has changed since: it has nothing to tell.
bool DiscoveryWatch::known(const std::string& line) const {
  if (asking_ == Asking::Priced || !held_ || line.size() != whole_bytes_) return false;
  return XXH3_64bits(line.data(), line.size()) == *held_;
}

// The whole list, or all that changed since the first one: some discoveries count from what everybody was
// given at the start.
void DiscoveryWatch::note_all(const std::string& line) {
  whole_at_ = loop_.now(), whole_bytes_ = line.size(), unanswered_ = false;
  held_ = XXH3_64bits(line.data(), line.size());
}

bool DiscoveryWatch::take(const std::string& line) {
  bool answer = !std::exchange(answered_, true);
  if (known(line)) {
    note_all(line);
    starts_.on_unchanged(loop_.now());
    confirmed_ = index_, complained_ = false;
    return true;
  }
  ListResult result = lists_.parse(line);
  if (const ListError* error = std::get_if<ListError>(&result))
    return not_understood(describe(*error).c_str()), false;
  EndpointList list = std::get<EndpointList>(std::move(result));
  // A discovery that has lost its list, or its count of changes, tells nothing of who is there.
  if (!list.is_snapshot && list.index < index_) return not_understood("the index went back"), false;
  if (list.is_snapshot && list.entries.empty() && !std::exchange(emptied_, true))
    return not_understood("the whole list is empty"), false;
  if (list.is_snapshot && !list.entries.empty()) emptied_ = false;
  if (list.is_snapshot || (answer && whole_call_)) note_all(line);
  else if (!list.entries.empty()) held_.reset();
  // The first line of a call says all that changed after what was asked for. What its watch tells later on is
  // held but not taken for all: the next call asks for it once more.
  if (list.is_snapshot || answer) confirmed_ = list.index;
  index_ = list.index, listed_ = true, complained_ = false;
  list.received_at_s = loop_.now();
  starts_.on_list(list, offsets());
  owner_.on_list(list);
  return true;
}

// Only whole lines are a sign of life, also empty ones; where the whole list was asked for, only a list is.
bool DiscoveryWatch::follow(const std::string& line) {
  bool empty = line.find_first_not_of(" \t\r") == std::string::npos;
  if (!empty && !take(line)) return false;
  bool alive = !empty || (asking_ == Asking::Priced && (state_ == State::Listening || index_ > 0));
  if (empty && (alive || state_ == State::Listening)) starts_.on_unchanged(loop_.now());
  if (alive) turn(Input::Heard);
  if (alive && asking_ == Asking::Priced) heard();
  return true;
}

// Once for each call: the date is of when its answer began.
void DiscoveryWatch::note_date() {
  if (date_offset_) return;
  if (std::optional<double> date = parse_http_date(reader_.message().header("Date")))
    date_offset_ = *date - loop_.now();
}

ClockOffsets DiscoveryWatch::offsets() const { return {Loop::unix_offset(), date_offset_}; }

void DiscoveryWatch::on_received(std::string_view bytes) {
  bytes_at_ = loop_.now();
  reader_.feed(bytes);
  bool answers = reader_.in_body() || reader_.whole();
  if (reader_.fault() != HttpReader::Fault::None || (answers && reader_.message().status != 200)) {
    if (!std::exchange(complained_, true))
      loop_.log().warning() << "discovery does not answer as it should: status " << reader_.message().status;
    return turn(Input::Ended);
  }
  if (answers) {
    note_date();
    if (asking_ == Asking::Free && !whole_call_) turn(Input::Heard);
    lines_.append(reader_.take_body());
  }
  while (state_ == State::Asked || state_ == State::Listening) {
    std::optional<std::string> line = lines_.take_line();
    if (!line) break;
    if (!follow(*line)) return;
  }
  if (lines_.exceeds_size_limit()) return not_understood("a list of more bytes than are read");
  if (lines_.ends_inside_list() && !reader_.whole()) {
    loop_.at(bytes_at_ + kBrokenOff, alive_.guard([this, since = bytes_at_] {
      if (bytes_at_ == since && lines_.ends_inside_list()) not_understood("a list broke off");
    }));
  }
  if (reader_.whole()) turn(Input::Ended);
}

}  // namespace puffinvane
