// The standing watch on discovery: it is opened again whenever it ends, falls silent or makes no sense.
#pragma once

#include <cstdint>
#include <string>

#include "puffinvane/table.h"
#include "sidecar/wire/discovery.h"
#include "sidecar/wire/http.h"
#include "sidecar/wire/stream.h"

namespace puffinvane {

class Watch final : Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_list(const EndpointList& list) = 0;
  };

  Watch(Loop& loop, Owner& owner, std::string address, double clock_offset, std::int64_t known);
  void open();
  // Discovery has moved: what was heard of it holds, and what came since is asked for at the new address.
  void move(const std::string& address);
  void close() { state_ = State::Over, stream_.close(); }

 private:
  enum class State { Resting, Connecting, Listening, Over };
  enum class Input { Rested, Connected, Silent, Ended, Nonsense, Moved };
  static const Row<Watch, State, Input> kRows[];
  void turn(Input input);
  void ask();
  void rest();
  void rest_and_forget();

  void on_connected() override { turn(Input::Connected); }
  void on_received(std::string_view bytes) override;
  void on_ended(Stream::End) override { turn(Input::Ended); }
  void check_silence();
  void heard() { heard_ = loop_.now(); }

  Loop& loop_;
  Owner& owner_;
  std::string address_;
  double clock_offset_;
  std::int64_t index_;
  Stream stream_;
  HttpReader reader_;
  Lines lines_;
  State state_ = State::Resting;
  double heard_ = 0;
  Alive alive_;
};

}  // namespace puffinvane
