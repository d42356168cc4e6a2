// The platform's sidecar: one pool, whose endpoints discovery lists, behind one door.
#pragma once

#include <string>

#include "sidecar/lifecycle/lifecycle.h"
#include "sidecar/lifecycle/start.h"
#include "sidecar/watching/watched.h"
#include "sidecar/wire/callers.h"
#include "sidecar/wire/carrier.h"
#include "sidecar/wire/watch.h"

namespace puffinvane {

class Sidecar final : public Lifecycle, Callers::Server {
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

  Assignment assignment_;
  const double clock_offset_;
  const std::string assigned_in_;
  bool leaving_ = false;
  Differences differences_;
  Admission admission_;
  Carrier carrier_;
  Callers callers_;
  Door door_;
  Watch watch_;
};

}  // namespace puffinvane
