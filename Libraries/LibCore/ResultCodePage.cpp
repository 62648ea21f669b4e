//===- ResultCodePage.cpp - Documentation page of result codes ------------===//
//
// See ResultCodePage.h.
//
//===----------------------------------------------------------------------===//

#include "LibCore/ResultCodePage.h"

#include "LibCore/ResultCode.h"

#include <array>

namespace figlift {

namespace {

struct Group {
  int First;
  std::string_view Title;
};

constexpr std::array Groups = {Group{0, "Success"},
                               Group{100, "The caller's input"},
                               Group{200, "Refusals before execution"},
                               Group{300, "Outcomes after dispatch"},
                               Group{400, "Operators' changes"},
                               Group{500, "Orders and authority"},
                               Group{600, "Platform and peers"},
                               Group{700, "Local errors"}};

std::string_view describe(Execution Executed) {
  switch (Executed) {
  case Execution::NotRun:
    return "not run";
  case Execution::MayHaveRun:
    return "may have run";
  case Execution::Ran:
    return "ran";
  case Execution::NotApplicable:
    return "-";
  }
  return "";
}

std::string describe(const ResultCodeInfo &Row) {
  return "| " + std::to_string(static_cast<int>(Row.Code)) + " | `" +
         std::string(Row.Name) + "` | " + std::to_string(Row.HttpStatus) +
         " | " + std::string(describe(Row.Executed)) + " | " +
         (Row.MayRetry ? "yes" : "no") + " | " + std::string(Row.Meaning) +
         " |\n";
}

} // namespace

std::string resultCodePage() {
  std::string Page =
      "# Result codes\n\n"
      "Every refusal, failure and rejected change carries one of these "
      "numbers. A number is never reused.\n\n"
      "- *Executed* says whether the work was sent to a target. \"not run\" "
      "is guaranteed.\n"
      "- *Retry* says whether the same request may be sent again without a "
      "risk that it runs twice. When waiting\n  helps, the response carries "
      "`Retry-After`.\n";
  for (const auto &[First, Title] : Groups) {
    Page += "\n## " + std::string(Title) +
            "\n\n| code | name | HTTP | executed | retry | meaning |\n"
            "|---|---|---|---|---|---|\n";
    for (const ResultCodeInfo &Row : resultCodeTable())
      if (int Number = static_cast<int>(Row.Code);
          Number >= First && Number < First + 100)
        Page += describe(Row);
  }
  return Page;
}

} // namespace figlift
