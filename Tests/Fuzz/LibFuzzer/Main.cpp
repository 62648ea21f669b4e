//===- Main.cpp - Entry point for libFuzzer -------------------------------===//
//
// The first byte chooses the decoder.
//
//===----------------------------------------------------------------------===//

#include "Fuzz/Decoders.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  if (Size == 0)
    return 0;
  const auto All = figlift::test::decoders();
  const std::string_view Input(reinterpret_cast<const char *>(Data) + 1,
                               Size - 1);
  if (!All[Data[0] % All.size()].Decode(Input).empty())
    std::abort();
  return 0;
}
