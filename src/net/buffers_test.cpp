#include "src/net/buffers.h"

#include <gtest/gtest.h>

#include <vector>

namespace puffinvane {
namespace {

constexpr std::size_t kBuffers = 16;

class BufferPoolPressure : public testing::Test {
 protected:
  BufferPoolPressure() { pool_.set_limit(kBuffers * BufferPool::kSize); }
  void use(std::size_t buffers) {
    while (used_.size() < buffers) used_.push_back(pool_.acquire());
  }

  BufferPool pool_;
  std::vector<BufferPool::Buffer> used_;  // returned before the pool is destroyed
};

TEST_F(BufferPoolPressure, RisesWithTheShareOfTheLimitThatIsInUse) {
  use(kBuffers / 2);
  EXPECT_EQ(pool_.pressure(), BufferPool::Pressure::None);

  use(kBuffers / 2 + 1);
  EXPECT_EQ(pool_.pressure(), BufferPool::Pressure::Scarce);

  use(kBuffers);
  EXPECT_EQ(pool_.pressure(), BufferPool::Pressure::Exhausted);
}

TEST_F(BufferPoolPressure, WithoutSomeOfTheBytesInUseIsThatOfTheOthers) {
  use(kBuffers / 2 + 1);

  EXPECT_EQ(pool_.pressure_without(BufferPool::kSize), BufferPool::Pressure::None);
  EXPECT_EQ(pool_.pressure_without(0), BufferPool::Pressure::Scarce);
  EXPECT_EQ(pool_.pressure_without(2 * kBuffers * BufferPool::kSize), BufferPool::Pressure::None);
}

}  // namespace
}  // namespace puffinvane
