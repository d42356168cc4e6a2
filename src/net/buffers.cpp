#include "src/net/buffers.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace puffinvane {

namespace {
constexpr std::size_t kMostSpare =
    256;  // 4 MiB: a burst's buffers go back to the system, a usual hour's stay
}

BufferPool::Buffer BufferPool::acquire() {
  ++lent_;
  if (spare_.empty()) return Buffer(new Block, GiveBack{this});
  Block* block = spare_.back().release();
  spare_.pop_back();
  return Buffer(block, GiveBack{this});
}

void BufferPool::take_back(Block* block) {
  --lent_;
  std::unique_ptr<Block> back(block);
  if (spare_.size() < kMostSpare) spare_.push_back(std::move(back));
}

BufferChain::BufferChain(BufferChain&& other) noexcept
    : pool_(other.pool_),
      buffers_(std::move(other.buffers_)),
      from_(std::exchange(other.from_, 0)),
      size_(std::exchange(other.size_, 0)) {
  other.buffers_.clear();
}

BufferChain& BufferChain::operator=(BufferChain&& other) noexcept {
  if (this == &other) return *this;
  pool_ = other.pool_;
  buffers_ = std::move(other.buffers_);
  other.buffers_.clear();
  from_ = std::exchange(other.from_, 0);
  size_ = std::exchange(other.size_, 0);
  return *this;
}

void BufferChain::add(std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t used = (from_ + size_) % BufferPool::kSize;
    if (from_ + size_ == buffers_.size() * BufferPool::kSize) buffers_.push_back(pool_->acquire()), used = 0;
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
  std::size_t at = 0;
  for (std::size_t i = 0; i < other.buffers_.size() && count > 0; ++i) {
    std::string_view bytes = other.part(i);
    std::size_t skip = std::min(bytes.size(), from - std::min(from, at));
    at += bytes.size();
    bytes = bytes.substr(skip, count);
    add(bytes), count -= bytes.size();
  }
}

std::string_view BufferChain::part(std::size_t index) const {
  std::size_t begin = index == 0 ? from_ : 0;
  std::size_t end = std::min(BufferPool::kSize, from_ + size_ - index * BufferPool::kSize);
  return {buffers_[index]->bytes.data() + begin, end - begin};
}

std::string_view BufferChain::front() const { return empty() ? std::string_view() : part(0); }

void BufferChain::drop(std::size_t count) {
  from_ += count, size_ -= count;
  while (from_ >= BufferPool::kSize) buffers_.pop_front(), from_ -= BufferPool::kSize;
  if (size_ == 0) clear();
}

void BufferChain::clear() { buffers_.clear(), from_ = size_ = 0; }

std::string BufferChain::text() const {
  std::string all;
  for (std::size_t i = 0; i < buffers_.size(); ++i) all += part(i);
  return all;
}

}  // namespace puffinvane
