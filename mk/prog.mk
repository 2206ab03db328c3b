# A program: NAME, SRCS; MORE: archives besides the library.
include $(TOP)/mk/common.mk

all: $(OBJ)/$(NAME).bin
$(OBJ)/$(NAME).bin: $(SRCS:%.c=$(OBJ)/$(NAME)/%.o) $(MORE) $(LIB)
	@echo "LD $(NAME)"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
