//===- Frames.h - Frames of the answer to a run -----------------*- C++ -*-===//
//
// Pure construction of RunFrame messages.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibStream/AnswerStore.h"
#include "LibWire/Messages.pb.h"

namespace figlift::agent {

wire::RunFrame tokensFrame(const stream::TokenRange &Tokens);
wire::RunFrame finishedFrame(const stream::Completed &End);
/// A Refusal when the code's row says "not run", else a Failure.
wire::RunFrame errorFrame(const Error &Reason, uint32_t TokensProduced = 0);

} // namespace figlift::agent
