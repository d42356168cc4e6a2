#include "src/net/buffers.h"

#include <malloc.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace puffinvane {

namespace {
// 4 MiB: enough for normal traffic; buffers that only a burst needed are returned to the system.
constexpr std::size_t kMaxFreeBuffers = 256;
}  // namespace

BufferPool::Buffer BufferPool::acquire() {
  ++in_use_;
  if (free_.empty()) return Buffer(new Block, ReturnToPool{this});
  Block* block = free_.back().release();
  free_.pop_back();
  return Buffer(block, ReturnToPool{this});
}

void BufferPool::return_free_memory() {
  free_.clear();
  malloc_trim(0);
}

BufferPool::Pressure BufferPool::pressure_without(std::size_t bytes) const {
  const std::size_t used = bytes_in_use() - std::min(bytes, bytes_in_use());
  if (used >= limit_) return Pressure::Exhausted;
  if (used >= limit_ / 8 * 7) return Pressure::Severe;
  if (used >= limit_ / 8 * 5) return Pressure::Short;
  return used > limit_ / 2 ? Pressure::Scarce : Pressure::None;
}

void BufferPool::take_back(Block* block) {
  --in_use_;
  std::unique_ptr<Block> returned(block);
  if (free_.size() < kMaxFreeBuffers) free_.push_back(std::move(returned));
}

BufferChain::BufferChain(BufferChain&& other) noexcept
    : pool_(other.pool_),
      buffers_(std::move(other.buffers_)),
      front_offset_(std::exchange(other.front_offset_, 0)),
      size_(std::exchange(other.size_, 0)) {
  other.buffers_.clear();
}

BufferChain& BufferChain::operator=(BufferChain&& other) noexcept {
  if (this == &other) return *this;
  pool_ = other.pool_;
  buffers_ = std::move(other.buffers_);
  other.buffers_.clear();
  front_offset_ = std::exchange(other.front_offset_, 0);
  size_ = std::exchange(other.size_, 0);
  return *this;
}

void BufferChain::add(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t used = (front_offset_ + size_) % BufferPool::kSize;
    if (front_offset_ + size_ == buffers_.size() * BufferPool::kSize) {
      buffers_.push_back(pool_->acquire());
      used = 0;
    }
    std::size_t count = std::min(bytes.size(), BufferPool::kSize - used);
    std::memcpy(buffers_.back()->bytes.data() + used, bytes.data(), count);
    size_ += count;
    bytes.remove_prefix(count);
  }
}

void BufferChain::add(const BufferChain& other) {
  for (std::size_t i = 0; i < other.buffers_.size(); ++i) add(other.part(i));
}

void BufferChain::add(const BufferChain& other, std::size_t from, std::size_t count) {
  std::size_t offset = 0;  // of other.part(i)
  for (std::size_t i = 0; i < other.buffers_.size() && count > 0; ++i) {
    std::string_view bytes = other.part(i);
    std::size_t skip = std::min(bytes.size(), from - std::min(from, offset));
    offset += bytes.size();
    bytes = bytes.substr(skip, count);
    add(bytes);
    count -= bytes.size();
  }
}

std::string_view BufferChain::part(std::size_t index) const {
  std::size_t begin = index == 0 ? front_offset_ : 0;
  std::size_t end = std::min(BufferPool::kSize, front_offset_ + size_ - index * BufferPool::kSize);
  return {buffers_[index]->bytes.data() + begin, end - begin};
}

std::string_view BufferChain::front() const { return empty() ? std::string_view() : part(0); }

void BufferChain::drop(std::size_t count) {
  front_offset_ += count;
  size_ -= count;
  while (front_offset_ >= BufferPool::kSize) {
    buffers_.pop_front();
    front_offset_ -= BufferPool::kSize;
  }
  if (size_ == 0) clear();
}

void BufferChain::clear() {
  buffers_.clear();
  front_offset_ = size_ = 0;
}

std::string BufferChain::text() const {
  std::string all;
  for (std::size_t i = 0; i < buffers_.size(); ++i) all += part(i);
  return all;
}

}  // namespace puffinvane
