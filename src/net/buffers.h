// Buffers of one size, used again: what comes in, goes out or waits is kept in them, so that a busy hour
// leaves no torn heap behind in a process with a small memory limit.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane {

class BufferPool {
 public:
  static constexpr std::size_t kSize = 16 * 1024;
  struct Block {
    std::array<char, kSize> bytes;
  };
  struct GiveBack {
    BufferPool* pool = nullptr;
    void operator()(Block* block) const { pool->take_back(block); }
  };
  using Buffer = std::unique_ptr<Block, GiveBack>;

  Buffer acquire();
  std::size_t in_use() const { return lent_; }
  std::size_t free_count() const { return spare_.size(); }

 private:
  void take_back(Block* block);
  std::vector<std::unique_ptr<Block>> spare_;
  std::size_t lent_ = 0;
};

// Bytes in the order they were added, over as many buffers as they need.
class BufferChain {
 public:
  explicit BufferChain(BufferPool& pool) : pool_(&pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;

  void add(std::string_view bytes);
  void add(const BufferChain& other);
  void add(const BufferChain& other, std::size_t from, std::size_t count);  // a part of it
  std::string_view front() const;
  void drop(std::size_t count);
  void clear();
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::string text() const;

 private:
  std::string_view part(std::size_t index) const;

  BufferPool* pool_;
  std::deque<BufferPool::Buffer> buffers_;
  std::size_t from_ = 0, size_ = 0;  // from_: of the first buffer, already dropped
};

}  // namespace puffinvane
