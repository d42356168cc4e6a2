// The standing watch on discovery: it is opened again whenever it ends, falls silent or makes no sense. Where
// the list costs nothing to ask for it is opened anew all the time for what changed, so that neither a watch
// that goes on without its entries nor one that can't be told from a quiet one keeps a change back. The whole
// list is asked for at the start, where something says that it is needed, and rarely enough else.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "puffinvane/table.h"
#include "src/discovery/discovery.h"
#include "src/discovery/endpoint_starts.h"
#include "src/discovery/list_splitter.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"

namespace puffinvane {

class DiscoveryWatch final : TcpConnection::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_list(const EndpointList& list) = 0;
  };

  // Free: lists are pushed to an agent, which answers at once. Priced: asking is work that somebody pays for.
  enum class Asking { Free, Priced };

  // seed: of its backoff, so that many of one discovery do not ask it together.
  // starts: of the endpoints that this discovery lists; outlives it.
  DiscoveryWatch(Loop& loop, Owner& owner, std::string address, EndpointStarts& starts, std::int64_t known,
                 Asking asking, std::uint64_t seed);
  void open();
  // Discovery has moved: what was heard of it holds, and what came since is asked for at the new address.
  void move(const std::string& address);
  void close() { state_ = State::Over, tcp_.close(); }
  bool listed() const { return listed_; }  // a list has come since the start

 private:
  enum class State { BackingOff, Connecting, Asked, Listening, Over };
  enum class Input { BackedOff, Connected, Heard, Overdue, Ended, Nonsense, Moved };
  static const Transition<DiscoveryWatch, State, Input> kRows[];
  void turn(Input input);
  void ask();
  void listen();
  void renew();
  void back_off();
  void rest_unanswered();
  void back_off_and_forget();
  void back_off_and_allow_longer();
  double pause();  // between two calls

  void on_connected() override { turn(Input::Connected); }
  void on_received(std::string_view bytes) override;
  void on_ended(TcpConnection::End) override { turn(Input::Ended); }
  void look();
  double limit() const;
  void bear_more(double at_least);
  bool wants_whole() const;  // rather than what changed
  double first() const;      // that an answer has to begin in, or a list that asking is free of to come
  void heard() { since_ = loop_.now(); }
  bool follow(const std::string& line);
  bool take(const std::string& line);
  bool known(const std::string& line) const;
  void note_all(const std::string& line);
  void not_understood(const char* why);
  void note_date();
  ClockOffsets offsets() const;

  Loop& loop_;
  Owner& owner_;
  std::string address_;
  EndpointStarts& starts_;
  std::int64_t index_;          // held
  std::int64_t confirmed_ = 0;  // all changes up to it were told by the first line of a call; 0: no list yet
  const Asking asking_;
  pcg32 chance_;
  TcpConnection tcp_;
  HttpReader reader_;
  ListSplitter lines_;
  ListParser lists_;
  State state_ = State::BackingOff;
  double since_ = 0;         // that its state, or a watch's last whole line, has lasted
  double read_timeout_ = 0;  // that a list may take, going by the last one
  double bytes_at_ = 0, backs_off_until_ = 0, listening_since_ = std::numeric_limits<double>::infinity();
  int failed_ = 0;                     // calls in a row
  std::optional<double> date_offset_;  // Unix time less this clock, by the date of this call's answer
  // The whole list as it came last. held_: its hash, as long as nothing has changed since.
  double whole_at_ = 0;
  std::size_t whole_bytes_ = 0;
  std::optional<XXH64_hash_t> held_;
  bool whole_call_ = false;  // the call in hand asks for the whole list
  bool answered_ = false;    // the first line of the call in hand has come
  bool unanswered_ = false;  // a call, since the last whole list
  bool listed_ = false, emptied_ = false, complained_ = false;
  Alive alive_;
};

}  // namespace puffinvane
