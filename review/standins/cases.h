#pragma once

#include "deployment.h"

// The cases of the review. Each returns the exit code of its script: kBroken if
// the rule was broken, kHeld if it held, kNotRun if the case couldn't run.
namespace bilberry::review {

// A late second answer to a stage call, around the time at which the worker's
// entry is away from the store.
int RunForeignPieces(Run& run);
// A worker whose answers to some requests have no end, beside the streams of
// other workers.
int RunForeignFailure(Run& run);
// A request whose body holds the text of another request.
int RunSmuggledRequest(Run& run);
// Many requests with long bodies at the same time.
int RunLongBodies(Run& run);
// A body in chunks whose header line ends with a space.
int RunTrailingSpace(Run& run);

}  // namespace bilberry::review
