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

constexpr double kBucketsPerDoubling = 64;

class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadPlan& plan) : plan_(plan) {
    for (int i = 0; i < plan.connections; ++i) sessions_.push_back(std::make_unique<Session>(*this));
  }
  LoadResult run() {
    measure_from_ = loop_.now() + plan_.warm_up;
    double end = measure_from_ + plan_.seconds;
    next_due_ = loop_.now();
    for (auto& session : sessions_) session->connect();
    if (plan_.rate > 0) send_due_requests();
    loop_.run([&] { return loop_.now() >= end; });
    result_.seconds = loop_.now() - measure_from_;
    return std::move(result_);
  }

 private:
  class Session final : public Connection::Owner {
   public:
    explicit Session(LoadGenerator& generator)
        : generator_(generator), connection_(generator.loop_, *this), reader_(HttpReader::Kind::Responses) {}
    void connect() {
      busy_ = false;
      reader_ = HttpReader(HttpReader::Kind::Responses);
      if (!connection_.connect(generator_.plan_.to)) return reconnect();
      generator_.use(*this);
    }
    void send_request(double due) {
      due_ = due;
      busy_ = true;
      char head[256];
      int size = std::snprintf(
          head, sizeof head, "GET %s HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: l%llx\r\n\r\n",
          generator_.plan_.target.c_str(), static_cast<unsigned long long>(generator_.next_id()));
      connection_.send({head, std::size_t(std::min<int>(size, sizeof head - 1))});
    }

   private:
    void on_bytes(Connection&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (reader_.invalid()) {
        connection_.close();
        return reconnect();
      }
      if (!reader_.complete()) return;
      HttpMessage response = reader_.take();
      if (std::exchange(busy_, false)) generator_.record_response(due_, response.status);
      if (response.close) {
        connection_.close();
        return connect();
      }
      generator_.use(*this);
    }
    void on_end(Connection&, bool) override { reconnect(); }
    void reconnect() {
      if (std::exchange(busy_, false)) generator_.record_failure();
      generator_.loop_.call_at(generator_.loop_.now() + 0.05, [this] { connect(); });
    }
    LoadGenerator& generator_;
    Connection connection_;
    HttpReader reader_;
    double due_ = 0;
    bool busy_ = false;
  };

  std::uint64_t next_id() { return ++id_ << 16 | std::uint64_t(getpid() & 0xffff); }
  void use(Session& session) {
    if (plan_.rate <= 0) return session.send_request(loop_.now());
    if (overdue_.empty()) return idle_.push_back(&session);
    double due = overdue_.front();
    overdue_.pop_front();
    session.send_request(due);
  }
  void send_due_requests() {
    for (double now = loop_.now(); next_due_ <= now; next_due_ += 1 / plan_.rate) {
      if (idle_.empty()) {
        overdue_.push_back(next_due_);
      } else {
        Session* session = idle_.back();
        idle_.pop_back();
        session->send_request(next_due_);
      }
    }
    loop_.call_at(next_due_, [this] { send_due_requests(); });
  }
  void record_response(double due, int status) {
    double now = loop_.now();
    if (now < measure_from_) return;
    result_.latency.add(now - due);
    ++(status == 200 ? result_.good : result_.other);
  }
  void record_failure() {
    if (loop_.now() >= measure_from_) ++result_.broken;
  }

  const LoadPlan plan_;
  EventLoop loop_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::vector<Session*> idle_;
  // Due times of requests that wait for an idle connection.
  std::deque<double> overdue_;
  LoadResult result_;
  double measure_from_ = 0, next_due_ = 0;
  std::uint64_t id_ = 0;
};

}  // namespace

void Histogram::add(double seconds) {
  double doublings = std::log2(std::max(1.0, seconds * 1e6));
  auto bucket = std::size_t(doublings * kBucketsPerDoubling);
  if (buckets_.size() <= bucket) buckets_.resize(bucket + 1);
  ++buckets_[bucket];
  ++count_;
}

void Histogram::add(const Histogram& other) {
  if (buckets_.size() < other.buckets_.size()) buckets_.resize(other.buckets_.size());
  for (std::size_t i = 0; i < other.buckets_.size(); ++i) buckets_[i] += other.buckets_[i];
  count_ += other.count_;
}

void Histogram::set_buckets(std::vector<std::uint64_t> buckets) {
  buckets_ = std::move(buckets);
  count_ = 0;
  for (std::uint64_t count : buckets_) count_ += count;
}

double Histogram::quantile(double share) const {
  auto rank = std::uint64_t(share * double(count_));
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    if ((sum += buckets_[i]) > rank || (sum == count_ && sum > 0))
      return std::exp2((double(i) + 0.5) / kBucketsPerDoubling) * 1e-6;
  }
  return 0;
}

LoadResult run_load(const LoadPlan& plan) { return LoadGenerator(plan).run(); }

std::string format_load_result(const LoadResult& result) {
  std::ostringstream out;
  out.precision(3);
  out << std::fixed << double(result.good) / result.seconds << " visits/s delivered in " << result.seconds
      << " s; " << result.other << " other answers, " << result.broken << " broken\n";
  for (double share : {0.5, 0.9, 0.99, 0.999, 0.9999})
    out << "  p" << share * 100 << "  " << result.latency.quantile(share) * 1e3 << " ms\n";
  return out.str();
}

}  // namespace load_test
