// What one run of the soak test of streamed bodies does, drawn from its seed.
#pragma once

#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

#include "testing/soak_run.h"

namespace puffinvane::test {

enum class Framing { Length, Chunks };

// What an endpoint does with uploads. One of several endpoints is in trouble.
enum class EndpointTrouble { None, Hangs, HangsForGood, ReadsSlowly, Resets };

inline const char* to_string(EndpointTrouble trouble) {
  switch (trouble) {
    case EndpointTrouble::None: return "none";
    case EndpointTrouble::Hangs: return "hangs";
    case EndpointTrouble::HangsForGood: return "hangs for good";
    case EndpointTrouble::ReadsSlowly: return "reads slowly";
    case EndpointTrouble::Resets: return "resets";
  }
  return "unknown";
}

constexpr double kClientTimeoutSeconds = 2.0;

struct UploadPlan {
  std::string id;
  Framing framing = Framing::Length;
  std::size_t body_bytes = 0;
  double time_left_s = 0;
  double begins_after_s = 0;
  bool is_unsafe = false;
};

struct DownloadPlan {
  std::string id;
  Framing framing = Framing::Length;
  std::size_t body_bytes = 0;
  std::size_t written_bytes = 0;  // less than body_bytes: the endpoint stops there and stays silent
  std::size_t piece_bytes = 0;
  double pause_s = 0;  // between two pieces
  double time_left_s = 0;
  double begins_after_s = 0;
  bool client_reads_slowly = false;
};

struct StreamingSoakPlan {
  int memory_mb = 64;
  EndpointTrouble trouble = EndpointTrouble::None;
  double hang_s = 0;
  std::vector<UploadPlan> uploads;
  std::vector<DownloadPlan> downloads;
};

inline StreamingSoakPlan draw_streaming_soak_plan(std::uint64_t seed) {
  constexpr std::size_t kKilobyte = 1024;
  constexpr int kMemoryLimitsMb[] = {32, 64, 96, 128};
  constexpr int kUploads = 6;
  constexpr int kDownloads = 8;
  constexpr double kMinRate = 64'000;  // bytes a second, of an endpoint that writes a long response
  RandomDraw draw(seed);
  StreamingSoakPlan plan;
  plan.memory_mb = kMemoryLimitsMb[draw.below(4)];
  constexpr EndpointTrouble kTroubles[] = {EndpointTrouble::None,         EndpointTrouble::Hangs,
                                           EndpointTrouble::Hangs,        EndpointTrouble::HangsForGood,
                                           EndpointTrouble::HangsForGood, EndpointTrouble::ReadsSlowly,
                                           EndpointTrouble::Resets};
  plan.trouble = kTroubles[draw.below(std::size(kTroubles))];
  plan.hang_s = draw.uniform(1, 5);
  const std::size_t buffered_bytes = std::size_t(plan.memory_mb) * kKilobyte * kKilobyte / 16;
  for (int i = 0; i < kUploads; ++i) {
    UploadPlan upload;
    upload.id = "u" + std::to_string(seed) + "-" + std::to_string(i);
    upload.framing = Framing(draw.below(2));
    // Most are a little longer than what is buffered; then the rest can be in the socket's buffer.
    upload.body_bytes = draw.chance(0.7) ? buffered_bytes + std::size_t(draw.uniform(60'000, 190'000))
                                         : std::size_t(draw.uniform(100'000, 9e6));
    upload.time_left_s =
        draw.chance(0.2) ? draw.uniform(0.08, 0.3) : draw.uniform(0.5, kClientTimeoutSeconds);
    upload.begins_after_s = draw.uniform(0, 0.5);
    upload.is_unsafe = draw.chance(0.5);
    plan.uploads.push_back(upload);
  }
  for (int i = 0; i < kDownloads; ++i) {
    DownloadPlan download;
    download.id = "d" + std::to_string(seed) + "-" + std::to_string(i);
    download.framing = Framing(draw.below(2));
    download.body_bytes = std::size_t(draw.uniform(70'000, 400'000));
    const bool stops = draw.chance(0.3);
    download.written_bytes =
        stops ? std::size_t(draw.uniform(0, double(download.body_bytes - 1))) : download.body_bytes;
    // Without a declared length only the rate can show in time that the response is long.
    download.pause_s = draw.uniform(0.02, download.framing == Framing::Length ? 1.5 : 0.95);
    download.piece_bytes = std::size_t(download.pause_s * kMinRate * draw.uniform(1, 3)) + 1;
    download.time_left_s = draw.uniform(0.3, kClientTimeoutSeconds);
    download.begins_after_s = draw.uniform(0, 0.5);
    download.client_reads_slowly = draw.chance(0.2);
    plan.downloads.push_back(download);
  }
  return plan;
}

}  // namespace puffinvane::test
