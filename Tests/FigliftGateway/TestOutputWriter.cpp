//===- TestOutputWriter.cpp - Standard output that never blocks -----------===//
//
// Writing to a full pipe, and to a pipe that several processes share.
//
//===----------------------------------------------------------------------===//

#include "figlift-gateway/OutputWriter.h"

#include <array>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace figlift::gateway;

TEST_GROUP(OutputWriter) {
  std::array<int, 2> Pipe{};
  std::string Received;

  void setup() override { CHECK(pipe(Pipe.data()) == 0); }
  void teardown() override {
    close(Pipe[0]);
    close(Pipe[1]);
  }
  /// Reads \p Count bytes, which must be available.
  void readBytes(size_t Count) {
    std::string Bytes(Count, '\0');
    for (size_t Offset = 0; Offset < Count;) {
      const ssize_t ReadCount =
          read(Pipe[0], Bytes.data() + Offset, Count - Offset);
      CHECK(ReadCount > 0);
      Offset += static_cast<size_t>(ReadCount);
    }
    Received += Bytes;
  }
};

// Failure: a log line is split, with a line of another process in between.
// Sequence: the pipe has room for only part of a write; another process writes
// before the rest follows.
// Cause: writes longer than PIPE_BUF, which are not atomic.
TEST(OutputWriter, LeavesNoPartOfALineInAFullPipe) {
  OutputWriter Output(Pipe[1]);
  const std::string Line(999, 'x');
  size_t Capacity = 0;
  for (; write(Pipe[1], "fill....fill....", 16) == 16; Capacity += 16)
    ;
  for (int Index = 0; Index < 40; ++Index)
    Output.line(Line);
  readBytes(6000);
  Output.flush();
  readBytes(Capacity - 6000);
  Received.clear();
  // The first flush ends at a line end, and the second one writes the rest.
  const std::string OtherLine = "another process\n";
  CHECK(write(Pipe[1], OtherLine.data(), OtherLine.size()) == 16);
  Output.flush();
  readBytes(40 * 1000 + OtherLine.size());
  const size_t Position = Received.find(OtherLine);
  LONGS_EQUAL(0, Position % 1000);
}
