#include "src/proxy/overdue_relay.h"

#include "src/http/http.h"

namespace puffinvane {

namespace {
constexpr std::size_t kLongBodyBytes = HttpReader::kMaxBodyBytes;
// Bytes a second, on average since the first byte: a quarter of what clients sustain.
constexpr double kMinRate = 8 * 1024;

// By its declared length the response is long. The rate is only judged after the silence that is allowed.
constexpr double kMaxSilenceOfDeclaredSeconds = 2;

// Without a declared length. Until an answer counts as lost, half a second after its time, a pause may be one
// between two pieces of a long response.
constexpr double kMaxSilenceSeconds = 0.6;
constexpr double kOverdueSeconds = 0.4;
constexpr double kMaxSilenceWhenOverdueSeconds = 0.2;
constexpr double kMinRatePeriodSeconds = 0.3;

bool is_slow(const RelayProgress& progress, double tolerated_s) {
  return double(progress.received_bytes) < kMinRate * (progress.elapsed_s - tolerated_s);
}

bool is_given_up_with_length(const RelayProgress& progress) {
  return progress.silent_s >= kMaxSilenceOfDeclaredSeconds || is_slow(progress, kMaxSilenceOfDeclaredSeconds);
}

bool is_given_up_without_length(const RelayProgress& progress) {
  const bool is_overdue = progress.overdue_s >= kOverdueSeconds;
  const double max_silence_s = is_overdue ? kMaxSilenceWhenOverdueSeconds : kMaxSilenceSeconds;
  return progress.silent_s >= max_silence_s ||
         (progress.elapsed_s > kMinRatePeriodSeconds && is_slow(progress, 0));
}
}  // namespace

RelayVerdict judge_overdue_relay(const RelayProgress& progress) {
  if (progress.received_bytes > kLongBodyBytes) return RelayVerdict::Settled;
  const bool is_declared_long = progress.declared_bytes.value_or(0) > kLongBodyBytes;
  const bool is_given_up =
      is_declared_long ? is_given_up_with_length(progress) : is_given_up_without_length(progress);
  return is_given_up ? RelayVerdict::GiveUp : RelayVerdict::Continue;
}

}  // namespace puffinvane
