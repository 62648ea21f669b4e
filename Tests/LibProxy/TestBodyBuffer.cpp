//===- TestBodyBuffer.cpp - A body that arrives in parts ------------------===//
//
// What is held, and what is returned.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/BodyBuffer.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::proxy;

TEST_GROUP(BodyBuffer) {
  BodyBuffer Buffer;

  static std::string text(size_t Bytes) {
    std::string Text;
    for (size_t I = 0; I < Bytes; ++I)
      Text += static_cast<char>('a' + I % 26);
    return Text;
  }
};

TEST(BodyBuffer, ReturnsTheWholeBodyOnce) {
  for (const size_t Bytes : {0U, 1U, 8192U, 262144U, 262145U, 1000000U}) {
    const std::string Body = text(Bytes);
    for (size_t Start = 0; Start < Bytes; Start += 7000)
      Buffer.append(std::string_view(Body).substr(Start, 7000));
    LONGS_EQUAL(Bytes, Buffer.size());
    CHECK(Buffer.take() == Body);
    LONGS_EQUAL(0, Buffer.size());
    LONGS_EQUAL(0, Buffer.capacity());
  }
}

// Guards against: a body that grows holds up to twice its size, and the bound
// on memory counts half of what is held.
TEST(BodyBuffer, HoldsLittleMoreThanTheBody) {
  const std::string Part = text(8192);
  for (size_t Bytes = 0; Bytes < 8000000; Bytes += Part.size()) {
    Buffer.append(Part);
    CHECK(Buffer.capacity() >= Buffer.size());
    CHECK(Buffer.capacity() < Buffer.size() + (256 << 10) + 64);
  }
}
