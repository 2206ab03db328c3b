LIBS = lib
PROGS = marlhoistd marlsided marlctl marlstand marlload
BUILD ?= debug

all: $(PROGS)
lib:
	@$(MAKE) --no-print-directory -C lib BUILD=$(BUILD)
$(PROGS): lib
	@$(MAKE) --no-print-directory -C $@ BUILD=$(BUILD)
.PHONY: all lib $(PROGS)
