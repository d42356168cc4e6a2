// Fixed-size buffers that are reused, and byte queues built from them. Reuse keeps heavy traffic from
// fragmenting the heap of a process that runs with a small memory limit.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane {

// Hands out fixed-size buffers and keeps a bounded number of returned ones for reuse. Must outlive its
// buffers.
class BufferPool {
 public:
  static constexpr std::size_t kSize = 16 * 1024;  // bytes in each buffer
  struct Block {
    std::array<char, kSize> bytes;
  };
  struct ReturnToPool {
    BufferPool* pool = nullptr;
    void operator()(Block* block) const { pool->take_back(block); }
  };
  using Buffer = std::unique_ptr<Block, ReturnToPool>;

  Buffer acquire();
  std::size_t in_use() const { return in_use_; }
  std::size_t free_count() const { return free_.size(); }

 private:
  void take_back(Block* block);
  std::vector<std::unique_ptr<Block>> free_;
  std::size_t in_use_ = 0;
};

// A queue of bytes, stored in as many buffers as it needs.
class BufferChain {
 public:
  explicit BufferChain(BufferPool& pool) : pool_(&pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;

  // Each overload appends a copy; the last one copies `count` bytes that begin at offset `from`.
  void add(std::string_view bytes);
  void add(const BufferChain& other);
  void add(const BufferChain& other, std::size_t from, std::size_t count);
  // The first bytes that are stored contiguously; empty only if the chain is.
  std::string_view front() const;
  // Removes that many bytes from the front.
  void drop(std::size_t count);
  void clear();
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // A copy of all bytes.
  std::string text() const;

 private:
  std::string_view part(std::size_t index) const;

  BufferPool* pool_;
  std::deque<BufferPool::Buffer> buffers_;
  std::size_t front_offset_ = 0;  // bytes of the first buffer that were dropped
  std::size_t size_ = 0;
};

}  // namespace puffinvane
