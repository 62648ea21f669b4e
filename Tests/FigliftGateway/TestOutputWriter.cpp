//===- TestOutputWriter.cpp - Standard output that never blocks -----------===//
//
// A pipe that is full, and one that several processes share.
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
  std::string Read;

  void setup() override { CHECK(pipe(Pipe.data()) == 0); }
  void teardown() override {
    close(Pipe[0]);
    close(Pipe[1]);
  }
  /// Reads \p Count bytes; they must be there.
  void take(size_t Count) {
    std::string Bytes(Count, '\0');
    for (size_t Done = 0; Done < Count;) {
      const ssize_t Got = read(Pipe[0], Bytes.data() + Done, Count - Done);
      CHECK(Got > 0);
      Done += static_cast<size_t>(Got);
    }
    Read += Bytes;
  }
};

// Symptom: of thousands of lines one stands in two pieces, with a line of
// another process between them.
// Sequence: the pipe has room for a part of what is written; the part is
// taken, another process writes, the rest follows.
// Cause: writes longer than a pipe takes as one.
TEST(OutputWriter, LeavesNoPartOfALineInAFullPipe) {
  OutputWriter Output(Pipe[1]);
  const std::string Line(999, 'x');
  size_t Room = 0;
  for (; write(Pipe[1], "fill....fill....", 16) == 16; Room += 16)
    ;
  for (int Each = 0; Each < 40; ++Each)
    Output.line(Line);
  take(6000);
  Output.flush();
  take(Room - 6000);
  Read.clear();
  // What has left ends with the end of a line, and the rest follows whole.
  const std::string Other = "another process\n";
  CHECK(write(Pipe[1], Other.data(), Other.size()) == 16);
  Output.flush();
  take(40 * 1000 + Other.size());
  const size_t At = Read.find(Other);
  LONGS_EQUAL(0, At % 1000);
}
