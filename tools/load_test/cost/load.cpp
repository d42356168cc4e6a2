#include "tools/load_test/cost/load.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <sstream>

#include "tools/load_test/loop/http.h"

namespace load_test {

namespace {

constexpr double kStep = 64;

class Load {
 public:
  explicit Load(const LoadPlan& plan) : plan_(plan) {
    for (int i = 0; i < plan.connections; ++i) links_.push_back(std::make_unique<Link>(*this));
  }
  Loaded run() {
    begun_ = loop_.now() + plan_.warm_up;
    double end = begun_ + plan_.seconds;
    next_due_ = loop_.now();
    for (auto& link : links_) link->connect();
    if (plan_.rate > 0) arrive();
    loop_.run([&] { return loop_.now() >= end; });
    loaded_.seconds = loop_.now() - begun_;
    return std::move(loaded_);
  }

 private:
  class Link final : public Line::Owner {
   public:
    explicit Link(Load& load) : load_(load), line_(load.loop_, *this), reader_(Reader::Of::Answers) {}
    void connect() {
      busy_ = false;
      reader_ = Reader(Reader::Of::Answers);
      if (!line_.connect(load_.plan_.to)) return fail();
      load_.free(*this);
    }
    void carry(double due) {
      due_ = due;
      busy_ = true;
      char head[256];
      int size = std::snprintf(head, sizeof head,
                               "GET %s HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: l%llx\r\n\r\n",
                               load_.plan_.target.c_str(), static_cast<unsigned long long>(load_.next_id()));
      line_.send({head, std::size_t(std::min<int>(size, sizeof head - 1))});
    }

   private:
    void on_bytes(Line&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (reader_.bad()) {
        line_.close();
        return fail();
      }
      if (!reader_.whole()) return;
      Message answer = reader_.take();
      if (std::exchange(busy_, false)) load_.answered(due_, answer.status);
      if (answer.close) {
        line_.close();
        return connect();
      }
      load_.free(*this);
    }
    void on_end(Line&, bool) override { fail(); }
    void fail() {
      if (std::exchange(busy_, false)) load_.broken();
      load_.loop_.at(load_.loop_.now() + 0.05, [this] { connect(); });
    }
    Load& load_;
    Line line_;
    Reader reader_;
    double due_ = 0;
    bool busy_ = false;
  };

  std::uint64_t next_id() { return ++id_ << 16 | std::uint64_t(getpid() & 0xffff); }
  void free(Link& link) {
    if (plan_.rate <= 0) return link.carry(loop_.now());
    if (waiting_.empty()) return idle_.push_back(&link);
    double due = waiting_.front();
    waiting_.pop_front();
    link.carry(due);
  }
  void arrive() {
    for (double now = loop_.now(); next_due_ <= now; next_due_ += 1 / plan_.rate) {
      if (idle_.empty()) {
        waiting_.push_back(next_due_);
      } else {
        Link* link = idle_.back();
        idle_.pop_back();
        link->carry(next_due_);
      }
    }
    loop_.at(next_due_, [this] { arrive(); });
  }
  void answered(double due, int status) {
    double now = loop_.now();
    if (now < begun_) return;
    loaded_.latency.add(now - due);
    ++(status == 200 ? loaded_.good : loaded_.other);
  }
  void broken() {
    if (loop_.now() >= begun_) ++loaded_.broken;
  }

  const LoadPlan plan_;
  Loop loop_;
  std::vector<std::unique_ptr<Link>> links_;
  std::vector<Link*> idle_;
  std::deque<double> waiting_;  // since when they were due
  Loaded loaded_;
  double begun_ = 0, next_due_ = 0;
  std::uint64_t id_ = 0;
};

}  // namespace

void Histogram::add(double seconds) {
  double doublings = std::log2(std::max(1.0, seconds * 1e6));
  auto step = std::size_t(doublings * kStep);
  if (steps_.size() <= step) steps_.resize(step + 1);
  ++steps_[step];
  ++count_;
}

void Histogram::add(const Histogram& other) {
  if (steps_.size() < other.steps_.size()) steps_.resize(other.steps_.size());
  for (std::size_t i = 0; i < other.steps_.size(); ++i) steps_[i] += other.steps_[i];
  count_ += other.count_;
}

void Histogram::set(std::vector<std::uint64_t> steps) {
  steps_ = std::move(steps);
  count_ = 0;
  for (std::uint64_t one : steps_) count_ += one;
}

double Histogram::at(double share) const {
  auto wanted = std::uint64_t(share * double(count_));
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < steps_.size(); ++i) {
    if ((sum += steps_[i]) > wanted || (sum == count_ && sum > 0))
      return std::exp2((double(i) + 0.5) / kStep) * 1e-6;
  }
  return 0;
}

Loaded load_one(const LoadPlan& plan) { return Load(plan).run(); }

std::string report(const Loaded& loaded) {
  std::ostringstream out;
  out.precision(3);
  out << std::fixed << double(loaded.good) / loaded.seconds << " visits/s delivered in " << loaded.seconds
      << " s; " << loaded.other << " other answers, " << loaded.broken << " broken\n";
  for (double share : {0.5, 0.9, 0.99, 0.999, 0.9999})
    out << "  p" << share * 100 << "  " << loaded.latency.at(share) * 1e3 << " ms\n";
  return out.str();
}

}  // namespace load_test
