// What one process of a sidecar tells the next: said and read back, and any bytes at all in its place. The
// same entry serves libFuzzer and, with a main of its own, what can be made of good packets and calls.
#undef NDEBUG
#include <cassert>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "src/hot_restart/message.h"
#include "src/http/http.h"

using namespace puffinvane;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(bytes), size);
  if (std::optional<ControlMessage> parsed = read_control_message(text)) {
    std::optional<ControlMessage> again = read_control_message(write_overrides(parsed->overrides));
    assert(again && again->overrides.out.size() == parsed->overrides.out.size());
    for (const LearnedState::EndpointState& one : parsed->learned.endpoints)
      assert(one.whole.health != Health::Removed && one.whole.samples.size() <= 64);
    if (parsed->what == ControlMessage::What::Listing)
      assert(parsed->list.entries.size() == parsed->list.addresses.size() &&
             parsed->list.entries.size() == parsed->list.stated_start_ms.size());
  }
  // The admin API's parser is the listener's; a call's body is small.
  BufferPool pool;
  HttpReader reader(HttpReader::Side::Request, pool, 4096),
      parts(HttpReader::Side::Request, pool, 64, 1 << 20);
  std::size_t used = reader.feed(text);
  assert(used <= size && (!reader.whole() || reader.message().body.size() <= 4096));
  BufferChain body(pool);
  for (std::size_t at = 0; at < size && !parts.whole() && parts.fault() == HttpReader::Fault::None; ++at) {
    parts.feed(text.substr(at, 1));  // byte by byte, its body taken as it comes
    if (parts.in_body()) body.add(parts.take_part());
  }
  if (reader.whole()) {
    assert(parts.whole());
    body.add(parts.take_part());
    assert(body.text() == reader.message().body.text());
  }
  return 0;
}

#ifndef PUFFINVANE_LIBFUZZER
namespace {

EndpointList some_list(std::size_t count) {
  EndpointList list;
  list.index = 41, list.is_snapshot = true, list.received_at_s = 99.5, list.has_start_times = true;
  for (std::size_t i = 0; i < count; ++i) {
    ListedState state = i % 3 == 0 ? ListedState::Draining : ListedState::Ready;
    list.entries.push_back(
        {"s-" + std::to_string(i), "z\"1", std::int64_t(i % 5), state, 0.5 + double(i), i % 2 ? 100.25 : 0});
    list.addresses.push_back("127.0.0.1:" + std::to_string(5000 + i));
    list.stated_start_ms.push_back(i % 2 ? 1700000000123.0 : 0);
  }
  return list;
}

void a_list_of_any_length_is_read_back_as_it_was() {
  for (std::size_t count : {0u, 1u, 400u, 1201u}) {
    EndpointList list = some_list(count), back;
    for (const std::string& packet : write_listing(list)) {
      std::optional<ControlMessage> parsed = read_control_message(packet);
      assert(packet.size() < 128 * 1024 && parsed && parsed->what == ControlMessage::What::Listing &&
             parsed->list.index == 41 && parsed->list.received_at_s == 99.5 && parsed->list.has_start_times);
      for (const ListEntry& entry : parsed->list.entries) back.entries.push_back(entry);
      for (const std::string& address : parsed->list.addresses) back.addresses.push_back(address);
      for (double since_ms : parsed->list.stated_start_ms) back.stated_start_ms.push_back(since_ms);
    }
    assert(back.entries == list.entries && back.addresses == list.addresses &&
           back.stated_start_ms == list.stated_start_ms);
  }
}

void orders_are_read_back_as_they_were() {
  OperatorOverrides overrides{{{"a \"quoted\"\n", 12.5}, {"b", 0}}, 7.25};
  std::optional<ControlMessage> parsed = read_control_message(write_overrides(overrides));
  assert(parsed && parsed->overrides == overrides);
  parsed = read_control_message(write_overrides({}));
  assert(parsed && parsed->overrides == OperatorOverrides());
}

LearnedState some_learned(std::size_t endpoints) {
  LearnedState learned{
      {{"read", {0.1, 0.25}, {0.2}}, {"write \"x\"", {}, {}}}, {}, {0, 1, 1}, {3, 0, 5}, 12.125};
  for (std::size_t i = 0; i < endpoints; ++i) {
    EndpointStatistics whole{Health(i % 3), 2,      30.5,
                             29.25,         int(i), {{29, 1.5, 2, true, false}, {30, 3, 1, false, true}}};
    EndpointStatistics statistics = whole;
    statistics.samples.pop_back();
    learned.endpoints.push_back({"s-" + std::to_string(i), i % 2 ? 100.25 : 0, whole, {whole, statistics}});
  }
  return learned;
}

std::vector<std::string> packets_of(const LearnedState& learned) {
  std::vector<std::string> packets;
  std::size_t from = 0;
  do packets.push_back(write_learned(learned, from));
  while (from < learned.endpoints.size());
  return packets;
}

void what_was_learned_is_read_back_as_it_was_of_any_number_of_endpoints() {
  for (std::size_t count : {0u, 1u, 13u, 200u, 1100u}) {
    LearnedState learned = some_learned(count), back;
    for (const std::string& packet : packets_of(learned)) {
      std::optional<ControlMessage> parsed = read_control_message(packet);
      assert(packet.size() < 128 * 1024 && parsed && parsed->what == ControlMessage::What::Learned);
      LearnedState part = std::move(parsed->learned);
      assert(part.classes.size() == 2);
      part.endpoints.insert(part.endpoints.begin(), back.endpoints.begin(), back.endpoints.end());
      back.endpoints = part.endpoints;
      if (back.classes.empty()) back = std::move(part);
    }
    assert(back.endpoints == learned.endpoints && back.classes == learned.classes &&
           back.lateness == learned.lateness && back.completion_rates == learned.completion_rates &&
           back.started_at_s == learned.started_at_s);
  }
  // What no module can have learned is left out whole, and ends no handover.
  std::string gone = packets_of(some_learned(1))[0];
  std::size_t at = gone.find("[0,2.0,30.5");
  assert(at != std::string::npos);
  gone[at + 1] = '3';
  std::optional<ControlMessage> parsed = read_control_message(gone);
  assert(parsed && parsed->what == ControlMessage::What::Learned && parsed->learned.endpoints.empty());
}

void another_format_is_not_understood() {
  std::string newer = write_whole();
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  assert(read_control_message(write_whole()) && !read_control_message(newer) && !read_control_message("") &&
         !read_control_message("[]"));
  assert(!read_control_message(R"({"format":1,"say":"unheard of"})") &&
         !read_control_message(R"({"format":1,"say":"ordered"})"));
}

std::uint64_t state = 42;
std::size_t below(std::size_t n) {  // xorshift: the same inputs at every run
  state ^= state << 13, state ^= state >> 7, state ^= state << 17;
  return state % n;
}

void any_bytes_end_well() {
  std::vector<std::string> corpus = write_listing(some_list(3));
  corpus.push_back(packets_of(some_learned(2))[0]);
  corpus.insert(corpus.end(), {write_overrides({{{"a", 1}}, 2}), write_connection(true), write_listener(),
                               write_whole(), "PUT /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1",
                               "POST http://h/a?b HTTP/1.1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n"});
  long runs = 0;
  for (const std::string& whole : corpus) {
    for (int i = 0; i < 2000; ++i, ++runs) {
      std::string text = whole;
      for (std::size_t k = below(4); k > 0 && !text.empty(); --k) {
        std::string put =
            below(2) ? text.substr(below(text.size()), below(40)) : std::string(1, char(below(256)));
        text.replace(below(text.size()), below(4) ? below(9) : text.size(), put);
      }
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    }
  }
  std::printf("handover: %ld inputs, all well\n", runs);
}

}  // namespace

int main() {
  a_list_of_any_length_is_read_back_as_it_was();
  orders_are_read_back_as_they_were();
  what_was_learned_is_read_back_as_it_was_of_any_number_of_endpoints();
  another_format_is_not_understood();
  any_bytes_end_well();
}
#endif
