// A caller's connection: one visit at a time, read whole, answered whole.
#pragma once

#include <cstdint>
#include <optional>

#include "sidecar/loop/table.h"
#include "sidecar/wire/http.h"
#include "sidecar/wire/stream.h"

namespace puffinvane {

class Client final : Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_request(Client& client, HttpMessage request) = 0;
    virtual void on_left(Client& client) = 0;  // its connection is over; the owner lets go of it
    virtual bool last_call() const = 0;        // answers are the last on their connections
  };
  class Visited {  // who has its visit in hand
   public:
    virtual ~Visited() = default;
    virtual void on_caller_left(std::uint32_t visit) = 0;
  };
  struct InHand {
    Visited* by = nullptr;
    std::uint32_t visit = 0;
  };

  // asked: it has sent a whole request on this connection before.
  Client(Loop& loop, Owner& owner, Ref<GSocket> socket, int door, std::size_t most_body, bool asked = false);

  // last: nothing more is read from this connection.
  void answer(int status, const HttpMessage* from, std::string_view more_headers, std::string_view text,
              bool last);
  void part() { turn(Input::Ended); }
  // Between visits, with none on its way: closing crosses nothing that was read.
  bool idle() const { return between() && stream_.quiet(); }
  bool asked() const { return asked_; }
  // Its connection, where nothing of a request was read and nothing of an answer is unwritten: what the
  // system holds goes over with it.
  GSocket* to_hand_over() const { return between() ? stream_.socket() : nullptr; }
  void handed_over() {
    stream_.release();
    part();
  }
  bool lingers() const { return state_ == State::Lingering; }             // it has its last answer
  bool newcomer() const { return state_ == State::Reading && !asked_; }  // has not sent one whole request
  // Ends what has stood for longer than is owed to it: half a request, nothing at all, an answer unread.
  void look(double now);
  double used() const { return used_; }
  int door() const { return door_; }                        // that it came in by
  void part_soon() { keep_alive_ = false, parts_ = true; }  // the next answer is the last
  std::optional<InHand> visit;

 private:
  enum class State { Reading, Waiting, Answering, Parting, Lingering, Over };
  enum class Input { Request, Fault, Late, Answer, LastAnswer, Written, Ended };
  static const Row<Client, State, Input> kRows[];
  void turn(Input input);
  bool between() const { return state_ == State::Reading && !reader_.started() && unread_.empty(); }
  void nothing() {}
  void hand_over();
  void refuse();
  void read_on();
  void linger();
  void leave();

  void on_received(std::string_view bytes) override;
  void on_written() override { turn(Input::Written); }
  void on_ended() override { turn(Input::Ended); }
  void take_in();

  Loop& loop_;
  Owner& owner_;
  Stream stream_;
  HttpReader reader_;
  Chain unread_;
  State state_ = State::Reading;
  bool keep_alive_ = true, continued_ = false, asked_ = false, parts_ = false, to_head_ = false;
  const int door_;
  double used_, heard_;
  Alive alive_;
};

}  // namespace puffinvane
