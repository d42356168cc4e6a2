// Kinds of clients that hold memory of a sidecar: each sends or reads slowly, stops half way, or sends much.
#pragma once

#include <cstddef>
#include <iterator>
#include <string>

#include "testing/crowd.h"

namespace puffinvane::test {

inline std::string numbered(const std::string& head, int number) {
  return head + "X-Correlation-Id: crowd-" + std::to_string(number) + "\r\n";
}

// A head of about 16 KiB with as many fields as it can have.
inline std::string many_fields(int number) {
  constexpr std::size_t kHeadBytes = 16'000;
  std::string head = numbered("POST /write HTTP/1.1\r\n", number) + "Content-Length: 60000\r\n";
  while (head.size() < kHeadBytes) head += "a:\r\n";
  return head;
}

inline std::string crowd_upload(int number, std::size_t body_bytes) {
  return numbered("POST /write HTTP/1.1\r\n", number) + "Content-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'u');
}

inline CrowdClientPlan many_fields_without_end(int number) { return {.text = many_fields(number)}; }
inline CrowdClientPlan one_field_without_end(int number) {
  return {.text = numbered("POST /write HTTP/1.1\r\n", number) + "X-Facts: " + std::string(15'000, 'f')};
}
inline CrowdClientPlan many_fields_and_half_a_body(int number) {
  return {.text = many_fields(number) + "\r\n" + std::string(30'000, 'u')};
}
inline CrowdClientPlan many_fields_in_whole_requests(int number) {
  std::string head = many_fields(number);
  head.replace(head.find("60000"), 5, "00001");
  return {.text = head + "\r\nu", .read_bytes_per_turn = 1300};
}
inline CrowdClientPlan half_an_upload(int number) {
  return {.text = crowd_upload(number, 64'000), .stops_after_bytes = 60'000, .first_send_after_s = 1};
}
inline CrowdClientPlan half_a_large_upload(int number) {
  return {.text = crowd_upload(number, 3'000'000), .stops_after_bytes = 1'500'000, .first_send_after_s = 1};
}
inline CrowdClientPlan slow_upload(int number) {
  return {.text = crowd_upload(number, 2'000'000), .sent_bytes_per_turn = 1400, .first_send_after_s = 1};
}
inline CrowdClientPlan slow_reader(int number) {
  return {.text = numbered("GET /read/long HTTP/1.1\r\n", number) + "\r\n",
          .read_bytes_per_turn = 1300,
          .first_send_after_s = 1};
}
inline CrowdClientPlan pipelined_requests(int number) {
  constexpr int kRequests = 400;
  std::string text;
  for (int i = 0; i < kRequests; ++i)
    text += numbered("GET /read/long HTTP/1.1\r\n", number * kRequests + i) + "\r\n";
  return {.text = text, .read_bytes_per_turn = 1300, .first_send_after_s = 1};
}
inline CrowdClientPlan mixed(int number) {
  constexpr CrowdClientPlan (*kPlans[])(int) = {many_fields_and_half_a_body, half_an_upload, slow_upload,
                                                slow_reader, pipelined_requests};
  return kPlans[std::size_t(number) % std::size(kPlans)](number);
}

}  // namespace puffinvane::test
