#include "sidecar/wire/client.h"

#include <utility>

namespace puffinvane {

namespace {
constexpr double kLinger = 1;  // seconds that a caller may say nothing in after its last answer
// For how long what it goes on sending is read: closed on unread bytes, it would never see that answer.
constexpr double kLongestLinger = 5.5;
// Seconds that half a request, or a connection on which none was ever sent, may stand: a caller that can't
// be served has to know within three.
constexpr double kHalf = 2.2;
// An answer that is not read; longer than any client timeout, as cutting it short would lose the visit.
constexpr double kUnread = 10;
constexpr std::size_t kAhead = Pool::kSize;  // of requests sent before the one in hand is answered
}  // namespace

const Row<Client, Client::State, Client::Input> Client::kRows[] = {
    {State::Reading, Input::Request, State::Waiting, &Client::hand_over},
    {State::Reading, Input::Fault, State::Parting, &Client::refuse},
    {State::Reading, Input::Late, State::Parting, &Client::refuse},
    {State::Reading, Input::Ended, State::Over, &Client::leave},
    {State::Waiting, Input::Answer, State::Answering, &Client::nothing},
    {State::Waiting, Input::LastAnswer, State::Parting, &Client::nothing},
    {State::Waiting, Input::Ended, State::Over, &Client::leave},
    {State::Answering, Input::Written, State::Reading, &Client::read_on},
    {State::Answering, Input::Ended, State::Over, &Client::leave},
    {State::Parting, Input::Written, State::Lingering, &Client::linger},
    {State::Parting, Input::Ended, State::Over, &Client::leave},
    {State::Lingering, Input::Ended, State::Over, &Client::leave},
};

Client::Client(Loop& loop, Owner& owner, Ref<GSocket> socket, int door, std::size_t most_body,
               bool asked)
    : loop_(loop),
      owner_(owner),
      stream_(loop, *this),
      reader_(HttpReader::Side::Request, loop.pool(), most_body),
      unread_(loop.pool()),
      asked_(asked),
      door_(door),
      used_(loop.now()),
      heard_(used_) {
  stream_.adopt(std::move(socket));
}

void Client::turn(Input input) { step(kRows, *this, state_, input); }

void Client::look(double now) {
  if (state_ == State::Reading && now - used_ > kHalf) {
    if (reader_.started()) turn(Input::Late);
    else if (!asked_) turn(Input::Ended);
  } else if (state_ == State::Lingering) {
    if (now - heard_ > kLinger || now - used_ > kLongestLinger) turn(Input::Ended);
  } else if (state_ == State::Answering || state_ == State::Parting) {
    if (now - used_ > kUnread) turn(Input::Ended);
  }
}

void Client::on_received(std::string_view bytes) {
  heard_ = loop_.now();
  if (state_ == State::Lingering || state_ == State::Parting) return;
  // From its first byte: one that sends a byte now and then would else hold its place for ever. On a new
  // connection from its start, as one that waits and then sends half a request is owed no more time.
  if (state_ == State::Reading && asked_ && !reader_.started()) used_ = loop_.now();
  unread_.add(bytes);
  if (unread_.size() > kAhead && state_ != State::Reading) stream_.read(false);
  take_in();
}

void Client::take_in() {
  while (state_ == State::Reading && !unread_.empty()) {
    unread_.drop(reader_.feed(unread_.front()));
    if (reader_.fault() != HttpReader::Fault::None) return turn(Input::Fault);
    if (reader_.whole()) return turn(Input::Request);
    if (reader_.in_body() && reader_.message().expects_continue && !std::exchange(continued_, true)) {
      Chain out(loop_.pool());
      out.add("HTTP/1.1 100 Continue\r\n\r\n");
      stream_.send(std::move(out));
    }
  }
}

void Client::hand_over() {
  HttpMessage request = reader_.take();
  keep_alive_ = request.keep_alive && !parts_;
  to_head_ = request.method == "HEAD";
  continued_ = false, asked_ = true;
  owner_.on_request(*this, std::move(request));
}

void Client::refuse() {
  int status = reader_.fault() == HttpReader::Fault::HeadTooLarge   ? 431
               : reader_.fault() == HttpReader::Fault::BodyTooLarge ? 413
               : reader_.fault() == HttpReader::Fault::Malformed    ? 400
                                                                    : 408;
  used_ = loop_.now();
  Chain out(loop_.pool());
  write_answer(out, status, nullptr, "", "this request can't be read\n", true);
  stream_.send(std::move(out));
  if (stream_.written()) turn(Input::Written);
}

void Client::answer(int status, const HttpMessage* from, std::string_view more_headers, std::string_view text,
                    bool last) {
  if (state_ != State::Waiting) return;
  last = last || !keep_alive_ || owner_.last_call();
  Chain out(loop_.pool());
  write_answer(out, status, from, more_headers, text, last, to_head_);
  used_ = loop_.now();
  turn(last ? Input::LastAnswer : Input::Answer);
  stream_.send(std::move(out));
  if (stream_.written()) turn(Input::Written);
}

void Client::read_on() {
  stream_.read(true);
  // Put off: each of many requests sent ahead would else be answered deeper within the call before.
  if (!unread_.empty()) loop_.soon(alive_.guard([this] { take_in(); }));
}

void Client::linger() {
  // Closed at once with bytes still unread, the system would reset the connection and with it the answer.
  stream_.finish_sending();
  stream_.hurry();
  stream_.read(true);
  used_ = heard_ = loop_.now();
}

void Client::leave() {
  stream_.close();
  owner_.on_left(*this);
}

}  // namespace puffinvane
