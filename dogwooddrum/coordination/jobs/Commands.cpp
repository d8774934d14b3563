#include "dogwooddrum/coordination/jobs/Commands.h"
#include "dogwooddrum/coordination/jobs/JobState.h"
#include "dogwooddrum/protocol/CodecTemplates.h"

DOGWOODDRUM_CODEC(dogwooddrum::coordination::jobs::Batch);
DOGWOODDRUM_CODEC(dogwooddrum::coordination::jobs::StateImage);
