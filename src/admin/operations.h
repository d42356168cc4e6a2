// What operators have ordered, apart from the sockets that carry the orders: which endpoints get nothing, and
// whether the sidecar is being emptied. An order stands until it is taken back, whatever the list says.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/transition_table.h"

namespace puffinvane {

class Operations {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    virtual bool knows(std::string_view endpoint) const = 0;  // it is listed, or was a short while ago
    virtual void stop(std::string_view endpoint) = 0;         // nothing new to it from now on
    virtual void use_again(std::string_view endpoint, double out_since) = 0;
    virtual void last_answers(bool on) = 0;  // each answer is the last on its connection
  };
  // An order for an endpoint that is listed no more is kept too, as it may come back under its id. So that
  // strangers' names can't fill the memory only known ones are taken, and no more than this many.
  static constexpr std::size_t kMostOut = 1024;

  explicit Operations(Host& host) : host_(host) {}

  // Whether the order is one that can be obeyed. Given again it changes nothing, and is obeyed.
  bool exclude(double now, std::string_view endpoint);
  bool include(std::string_view endpoint);
  void evacuate(double now);
  void rejoin();
  void pass_time(double now);
  // What another process of this sidecar was ordered, in place of what this one was.
  void take_over(const std::map<std::string, double, std::less<>>& out, std::optional<double> drains_since);

  bool out(std::string_view endpoint) const { return out_.contains(endpoint); }
  const std::map<std::string, double, std::less<>>& all_out() const { return out_; }  // since when
  std::optional<double> drains_since() const { return drains() ? std::optional(since_) : std::nullopt; }
  bool drains() const { return drain_ != Drain::Serving; }
  bool closes_idle() const { return drain_ == Drain::Emptying; }

 private:
  enum class Drain { Serving, Telling, Parting, Emptying };
  enum class Input { Evacuate, Noticed, Settled, Rejoin };
  static const Transition<Operations, Drain, Input> kRows[];
  void turn(Input input);
  void nothing() {}
  void part() { host_.last_answers(true); }
  void serve() { host_.last_answers(false); }

  Host& host_;
  std::map<std::string, double, std::less<>> out_;
  Drain drain_ = Drain::Serving;
  double since_ = 0;
};

}  // namespace puffinvane
