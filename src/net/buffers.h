// Fixed-size buffers that are reused, and byte queues built from them. Reuse keeps heavy traffic from
// fragmenting the heap of a process that runs with a small memory limit.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace puffinvane {

// Hands out fixed-size buffers, keeps a bounded number of returned ones for reuse, and knows how much memory
// of its limit is in use. It enforces nothing: who receives data asks it first. Must outlive its buffers and
// charges.
class BufferPool {
 public:
  static constexpr std::size_t kSize = 16 * 1024;  // bytes in each buffer
  // How much of the limit is in use.
  enum class Pressure {
    None,
    Scarce,    // over a half: what can be done in smaller pieces is
    Short,     // five eighths: nothing more is received of requests that are not whole
    Severe,    // seven eighths: no request is begun
    Exhausted  // nothing more is received
  };
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
  // Returns the buffers that are kept for reuse, and the free part of the heap, to the system.
  void return_free_memory();
  // The limit of bytes_in_use(); without one there is no pressure.
  void set_limit(std::size_t bytes) { limit_ = bytes; }
  std::size_t limit() const { return limit_; }
  // In buffers, and in other memory that is charged.
  std::size_t bytes_in_use() const { return in_use_ * kSize + charged_; }
  Pressure pressure() const { return pressure_without(0); }
  // What it would be if that many of the bytes in use were free.
  Pressure pressure_without(std::size_t bytes) const;

 private:
  friend class MemoryCharge;
  void take_back(Block* block);
  std::vector<std::unique_ptr<Block>> free_;
  std::size_t in_use_ = 0;
  std::size_t charged_ = 0;  // bytes
  std::size_t limit_ = std::numeric_limits<std::size_t>::max();
};

// Memory outside of buffers that counts against the limit of a pool, for as long as this object lives.
class MemoryCharge {
 public:
  explicit MemoryCharge(BufferPool& pool) : pool_(&pool) {}
  MemoryCharge(MemoryCharge&& other) noexcept : pool_(other.pool_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    pool_ = other.pool_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  ~MemoryCharge() { set(0); }

  void set(std::size_t bytes) {
    pool_->charged_ += bytes;
    pool_->charged_ -= bytes_;
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  BufferPool* pool_;
  std::size_t bytes_ = 0;
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
