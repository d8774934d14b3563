#include "dogwooddrum/coordination/workloads/State.h"
#include "dogwooddrum/protocol/CodecTemplates.h"

DOGWOODDRUM_CODEC(dogwooddrum::coordination::workloads::Change);
