#include "sidecar/wire/backend.h"

#include <utility>

#include "sidecar/wire/headers.h"

namespace puffinvane {

namespace {
// Seconds without a byte in the middle of an answer: an endpoint writes it when its work is done, so what has
// begun and stops is lost, and the visit has better uses for its time than to wait for its client timeout.
constexpr double kStopped = 0.3;
}  // namespace

// An answer may come before the request is written whole: it counts, but what is left of the request can't
// be taken back, so that connection carries nothing more.
const Row<Backend, Backend::State, Backend::Input> Backend::kRows[] = {
    {State::Connecting, Input::Connected, State::Sending, &Backend::write},
    {State::Connecting, Input::Ended, State::Over, &Backend::report_unsent},
    {State::Connecting, Input::TimedOut, State::Over, &Backend::report_unsent},
    {State::Idle, Input::Fetch, State::Sending, &Backend::write},
    {State::Idle, Input::Ended, State::Over, &Backend::report_idle_end},
    {State::Idle, Input::Nonsense, State::Over, &Backend::report_idle_end},
    {State::Sending, Input::Written, State::Awaiting, &Backend::note_sent},
    {State::Sending, Input::Answered, State::Over, &Backend::report_answer},
    {State::Sending, Input::AnsweredLast, State::Over, &Backend::report_answer},
    {State::Sending, Input::Nonsense, State::Over, &Backend::report_nonsense},
    {State::Sending, Input::Ended, State::Over, &Backend::report_unsent},
    {State::Awaiting, Input::Answered, State::Idle, &Backend::report_answer},
    {State::Awaiting, Input::AnsweredLast, State::Over, &Backend::report_answer},
    {State::Awaiting, Input::Nonsense, State::Over, &Backend::report_nonsense},
    {State::Awaiting, Input::Stopped, State::Over, &Backend::report_nonsense},
    {State::Awaiting, Input::Ended, State::Over, &Backend::report_reset},
};

Backend::Backend(Loop& loop, Owner& owner, std::string endpoint, std::size_t most_body)
    : loop_(loop),
      owner_(&owner),
      endpoint_(std::move(endpoint)),
      stream_(loop, *this),
      reader_(HttpReader::Side::Answer, loop.pool(), most_body) {}

void Backend::turn(Input input) { step(kRows, *this, state_, input); }

bool Backend::connect(std::string_view address, double timeout) {
  if (!stream_.connect(address)) return false;
  timeout_ = timeout;
  loop_.at(loop_.now() + timeout, alive_.guard([this] { turn(Input::TimedOut); }));
  return true;
}

void Backend::carry(Carried fetch, bool head) {
  carried_ = fetch;
  reader_.expect_no_body(head);
  kept_ = state_ == State::Idle;
  answering_ = false, sent_ = loop_.now();
  turn(Input::Fetch);
}

void Backend::write() {
  stream_.send(owner_->on_ready(*this));
  if (stream_.written()) turn(Input::Written);
}

void Backend::on_received(std::string_view bytes) {
  if (state_ == State::Idle) return turn(Input::Nonsense);  // nobody asked
  heard_ = loop_.now();
  bool first = !std::exchange(answering_, true);
  std::size_t used = reader_.feed(bytes);
  if (reader_.fault() != HttpReader::Fault::None) return turn(Input::Nonsense);
  if (!reader_.whole()) {
    if (first) watch_answer(sent_);  // most come whole at once, and need no watching
    return;
  }
  bool last = !reader_.message().keep_alive || used < bytes.size();
  turn(last ? Input::AnsweredLast : Input::Answered);
}

void Backend::watch_answer(double of) {
  loop_.at(heard_ + kStopped, alive_.guard([this, of] {
    if (state_ == State::Idle || sent_ != of) return;  // that one came whole
    loop_.now() - heard_ >= kStopped ? turn(Input::Stopped) : watch_answer(of);
  }));
}

void Backend::on_ended() {
  reader_.end();
  turn(reader_.whole() ? Input::AnsweredLast : Input::Ended);
}

void Backend::report_answer() {
  Outcome outcome = owner_->outcome_of(reader_.message());
  if (state_ == State::Over) stream_.close();
  idle_since_ = loop_.now();
  owner_->on_fetched(*this, outcome, reader_.take());
}
void Backend::report_nonsense() { report(Outcome::Failed); }
void Backend::report_unsent() { report(outcome_of_break(false)); }
void Backend::report_reset() {
  // Sooner than a connection may take to come up, on one that was kept: it was dropped while it stood idle.
  bool dropped = kept_ && !answering_ && loop_.now() - sent_ < timeout_;
  report(dropped ? Outcome::Stale : outcome_of_break(true));
}
void Backend::report_idle_end() {
  stream_.close();
  owner_->on_idle_end(*this);
}

void Backend::report(Outcome outcome) {
  stream_.close();
  owner_->on_fetched(*this, outcome, HttpMessage(loop_.pool()));
}

}  // namespace puffinvane
