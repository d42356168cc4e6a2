#include "sidecar/wire/watch.h"

#include <utility>

namespace puffinvane {

namespace {
// Discovery sends at least an empty line every 2 s: two missed, and a connection that says nothing is taken
// for one that was cut off, which the system itself would notice only after hours.
constexpr double kSilence = 5, kCheck = 0.5, kRest = 0.25;
constexpr double kBrokenOff = 0.5;  // a list that stops amid its lines is one that can't be read
constexpr std::size_t kMostAtOnce = 8 << 20;
}  // namespace

const Row<Watch, Watch::State, Watch::Input> Watch::kRows[] = {
    {State::Resting, Input::Rested, State::Connecting, &Watch::open},
    {State::Resting, Input::Moved, State::Connecting, &Watch::open},
    {State::Connecting, Input::Moved, State::Connecting, &Watch::open},
    {State::Listening, Input::Moved, State::Connecting, &Watch::open},
    {State::Connecting, Input::Connected, State::Listening, &Watch::ask},
    {State::Connecting, Input::Silent, State::Resting, &Watch::rest},
    {State::Connecting, Input::Ended, State::Resting, &Watch::rest},
    {State::Listening, Input::Silent, State::Resting, &Watch::rest},
    {State::Listening, Input::Ended, State::Resting, &Watch::rest},
    {State::Listening, Input::Nonsense, State::Resting, &Watch::rest_and_forget},
};

Watch::Watch(Loop& loop, Owner& owner, std::string address, double clock_offset, std::int64_t known)
    : loop_(loop),
      owner_(owner),
      address_(std::move(address)),
      clock_offset_(clock_offset),
      index_(known),
      stream_(loop, *this),
      reader_(HttpReader::Side::Answer, loop.pool(), kMostAtOnce) {
  check_silence();
}

void Watch::turn(Input input) { step(kRows, *this, state_, input); }

void Watch::open() {
  state_ = State::Connecting;
  heard();
  stream_.close();
  reader_.take(), lines_ = Lines();
  if (!stream_.connect(address_)) turn(Input::Ended);
}

void Watch::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  turn(Input::Moved);
}

void Watch::ask() {
  heard();
  Chain out(loop_.pool());
  out.add("GET /v1/servers?watch=1&after=" + std::to_string(index_) + " HTTP/1.1\r\nHost: " + address_ +
          "\r\n\r\n");
  stream_.send(std::move(out));
}

void Watch::rest() {
  stream_.close();
  loop_.at(loop_.now() + kRest, alive_.guard([this] { turn(Input::Rested); }));
}

void Watch::rest_and_forget() {
  index_ = 0;  // the whole list, as a line that could not be read may have changed anything
  rest();
}

void Watch::check_silence() {
  if (loop_.now() - heard_ > kSilence) turn(Input::Silent);
  loop_.at(loop_.now() + kCheck, alive_.guard([this] { check_silence(); }));
}

void Watch::on_received(std::string_view bytes) {
  heard();
  reader_.feed(bytes);
  if (reader_.fault() != HttpReader::Fault::None || (reader_.in_body() && reader_.message().status != 200)) {
    loop_.log().warning() << "discovery does not answer as it should: status " << reader_.message().status;
    return turn(Input::Ended);
  }
  if (reader_.in_body() || reader_.whole()) lines_.add(reader_.take_body());
  std::string line;
  while (state_ == State::Listening && lines_.next(line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    try {
      EndpointList list = read_list(line, clock_offset_);
      index_ = list.index;
      owner_.on_list(list);
    } catch (const Malformed& fault) {
      loop_.log().warning() << "a line of discovery was not understood: " << fault.what();
      return turn(Input::Nonsense);
    }
  }
  if (lines_.too_long()) {
    loop_.log().warning() << "a list of over " << Lines::kMost << " bytes is not read";
    return turn(Input::Nonsense);
  }
  if (lines_.unfinished() && !reader_.whole()) {
    loop_.at(heard_ + kBrokenOff, alive_.guard([this, since = heard_] {
      if (heard_ != since || !lines_.unfinished()) return;
      loop_.log().warning() << "a list of discovery broke off";
      turn(Input::Nonsense);
    }));
  }
  if (reader_.whole()) turn(Input::Ended);
}

}  // namespace puffinvane
