// The platform's sidecar: one pool, whose endpoints discovery lists, behind one door.
#pragma once

#include <string>

#include "sidecar/console/console.h"
#include "sidecar/lifecycle/lifecycle.h"
#include "sidecar/lifecycle/start.h"
#include "sidecar/watching/watched.h"
#include "sidecar/wire/callers.h"
#include "sidecar/wire/carrier.h"
#include "sidecar/wire/watch.h"

namespace puffinvane {

class Sidecar final : public Lifecycle, Callers::Server, Operations::Host, Console::Owner {
 public:
  Sidecar(Loop& loop, Assignment assignment, double clock_offset, std::string assigned_in, PolicyMaker make);
  void start() override;

 private:
  void serves() override;
  void reads_anew() override;
  Patience patience() const override;
  void leaves(double gone) override;
  void closes_doors() override { door_.close(); }
  void last_call() override { callers_.last_call(true); }
  void close_idle_callers() override { callers_.close_idle(); }
  bool empty() const override { return callers_.empty(); }
  void ends() override;
  void on_request(Client& client, HttpMessage request) override;

  bool knows(std::string_view endpoint) const override { return carrier_.knows(endpoint); }
  void stop(std::string_view endpoint) override;
  void use_again(std::string_view endpoint, double out_since) override;
  void last_answers(bool on) override { callers_.last_call(on); }
  bool ready() const override { return serving_; }
  std::string telemetry() const override;
  void on_order() override { look_at_drain(); }
  void look_at_drain();

  Assignment assignment_;
  const double clock_offset_;
  const std::string assigned_in_;
  bool serving_ = false, leaving_ = false, looking_ = false;
  Differences differences_;
  Admission admission_;
  Carrier carrier_;
  Callers callers_;
  Door door_;
  Watch watch_;
  Operations operations_;
  std::optional<Console> console_;  // none: operators call nowhere
  Alive alive_;
};

}  // namespace puffinvane
