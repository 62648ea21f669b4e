//===- TestFuzz.cpp - Damaged input for every decoder ---------------------===//
//
// A bounded, repeatable run: rapidcheck damages good inputs with a fixed seed.
// Crashes and overruns show under Meta/sanitize.sh. A longer search is done
// with the libFuzzer program of this folder.
//
//===----------------------------------------------------------------------===//

#include "Fuzz/Decoders.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;

namespace {

constexpr uint64_t Seed = 20260;
constexpr int Rounds = 3000;

enum class Damage { Replace, Insert, Erase, Repeat, Truncate };

struct Edit {
  Damage What;
  /// Place, as a part of the length.
  double Where;
  uint8_t Byte;
  uint16_t Length;
};

void apply(const Edit &Change, std::string &To) {
  const size_t At =
      To.empty() ? 0
                 : static_cast<size_t>(Change.Where *
                                       static_cast<double>(To.size() - 1));
  const size_t Length = Change.Length % 64;
  switch (Change.What) {
  case Damage::Replace:
    if (!To.empty())
      To[At] = static_cast<char>(Change.Byte);
    break;
  case Damage::Insert:
    To.insert(At, Length, static_cast<char>(Change.Byte));
    break;
  case Damage::Erase:
    To.erase(At, Length);
    break;
  case Damage::Repeat:
    To.insert(At, To.substr(At, Length));
    break;
  case Damage::Truncate:
    To.resize(At);
    break;
  }
}

rc::Gen<Edit> edits() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 10000),
                     rc::gen::arbitrary<uint8_t>(),
                     rc::gen::arbitrary<uint16_t>()),
      [](const std::tuple<int, int, uint8_t, uint16_t> &From) {
        const auto &[What, Where, Byte, Length] = From;
        return Edit{static_cast<Damage>(What), Where / 10000.0, Byte, Length};
      });
}

void search(const Decoder &Of) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Rounds;
  const auto Result = rc::detail::checkTestable(
      [&Of] {
        std::string Input = *rc::gen::elementOf(Of.Good);
        for (const Edit &Each : *rc::gen::container<std::vector<Edit>>(edits()))
          apply(Each, Input);
        const std::string Fault = Of.Decode(Input);
        if (!Fault.empty())
          RC_FAIL(std::string(Of.Name) + ": " + Fault);
      },
      rc::detail::TestMetadata(), Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  CHECK_TEXT(Result.template is<rc::detail::SuccessResult>(),
             (std::string(Of.Name) + ": " + Text.str()).c_str());
}

} // namespace

TEST_GROUP(Fuzz){};

TEST(Fuzz, GoodInputsAreTaken) {
  for (const Decoder &Each : decoders())
    for (const std::string &Input : Each.Good)
      STRCMP_EQUAL("", Each.Decode(Input).c_str());
}

TEST(Fuzz, DamagedInputsAreRefusedWithAReason) {
  // Symptom: a process dies, or says nothing useful, on damaged input.
  // Sequence: a few bytes of a good text or message are changed, inserted,
  // removed or doubled. Cause: a decoder that trusts its input.
  for (const Decoder &Each : decoders())
    search(Each);
}

TEST(Fuzz, NestingIsBounded) {
  // Symptom: the stack runs out. Sequence: brackets or messages within each
  // other, far deeper than any good input. Cause: recursion without a bound.
  for (const Decoder &Each : decoders())
    for (const char *Piece : {"[", "{\"a\":", "\x52\x7f", "[{", "/*"}) {
      std::string Deep;
      while (Deep.size() < 400000)
        Deep += Piece;
      STRCMP_EQUAL("", Each.Decode(Deep).c_str());
    }
}
