//===- Frames.h - Construction of RunFrame messages -------------*- C++ -*-===//
//
// Pure functions that create the frames of the answer to a Run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibStream/AnswerStore.h"
#include "LibWire/Messages.pb.h"

namespace figlift::agent {

wire::RunFrame tokensFrame(const stream::TokenRange &Tokens);
wire::RunFrame finishedFrame(const stream::Completed &End);
/// A Refusal if resultCodeInfo() says that the request was not run, else a
/// Failure.
wire::RunFrame errorFrame(const Error &Reason, uint32_t TokensProduced = 0);

} // namespace figlift::agent
